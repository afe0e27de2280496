#include "version/searchreport.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr Milliseconds lineInterval { 1000 };
// Bounds of a line: a group has fewer members, and a reason is a sentence.
constexpr std::size_t maxHosts = 24;
constexpr std::size_t maxReasonLength = 60;

std::string describe(const GroupHint &hint)
{
    if (!hint.groupExists) {
        return "knows no group";
    }
    const std::string leader = hint.leaderIp.empty() ? "no leader" : "leader " + hint.leaderIp;
    return leader + ", members of revision " + std::to_string(hint.membersRevision);
}

} // namespace

void SearchReport::begin(TimePoint now)
{
    this->begunAt = now;
    this->dueAt = now + lineInterval;
    this->hosts.clear();
    this->unlisted = 0;
}

void SearchReport::recordQuestion(const std::string &ip)
{
    if (this->find(ip) != nullptr) {
        return;
    }
    if (this->hosts.size() >= maxHosts) {
        ++this->unlisted;
        return;
    }
    this->hosts.push_back({ ip, "no answer" });
}

void SearchReport::recordAnswer(const std::string &ip, const GroupHint &hint)
{
    if (Host *host = this->find(ip)) {
        host->answer = describe(hint);
    }
}

void SearchReport::recordFailure(const std::string &ip, const std::string &reason)
{
    if (Host *host = this->find(ip)) {
        host->answer = reason.substr(0, maxReasonLength);
    }
}

bool SearchReport::takeDue(TimePoint now)
{
    if (now < this->dueAt) {
        return false;
    }
    this->dueAt = now + lineInterval;
    return true;
}

std::string SearchReport::text() const
{
    std::string result;
    for (const Host &host : this->hosts) {
        result += (result.empty() ? "" : "; ") + host.ip + ": " + host.answer;
    }
    if (this->unlisted != 0) {
        result += "; questions to other hosts: " + std::to_string(this->unlisted);
    }
    return result;
}

SearchReport::Host *SearchReport::find(const std::string &ip)
{
    const auto found = std::find_if(this->hosts.begin(), this->hosts.end(),
                                    [&ip](const Host &host) { return host.ip == ip; });
    return found == this->hosts.end() ? nullptr : &*found;
}

} // namespace cassiaroad
