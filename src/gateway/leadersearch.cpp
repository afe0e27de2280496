#include "gateway/leadersearch.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

// Interval of the questions to one host. At most so often 200 gateways without a leader ask each of
// the control hosts: 500 small calls a second.
constexpr Milliseconds questionInterval { 400 };
// Connections of one search to one host. With these and the watch calls, 200 gateways stay below
// the registry's limit of 1500 connections.
constexpr std::size_t maxConnections = 4;
// Bounds of the addresses that hosts which do not lead have named, and of those kept from earlier
// lists. A group has a member for each slot, and few hosts disagree on the leader.
constexpr std::size_t maxMembers = 16;
constexpr std::size_t maxFormerMembers = 16;
constexpr std::size_t maxNamedLeaders = 4;

void addOnce(std::vector<std::string> &ips, const std::string &ip)
{
    if (!ip.empty() && std::find(ips.begin(), ips.end(), ip) == ips.end()) {
        ips.push_back(ip);
    }
}

// Moves @p ip to the end of @p ips and removes the first address if there are more than @p limit.
void keepLatest(std::vector<std::string> &ips, const std::string &ip, std::size_t limit)
{
    std::erase(ips, ip);
    ips.push_back(ip);
    if (ips.size() > limit) {
        ips.erase(ips.begin());
    }
}

bool contains(const MemberList &list, const std::string &ip)
{
    return std::any_of(list.ips.begin(), list.ips.end(),
                       [&ip](const auto &member) { return member.second == ip; });
}

} // namespace

void LeaderSearch::setSeeds(const std::vector<HostAddress> &seeds)
{
    this->seeds.clear();
    for (const HostAddress &seed : seeds) {
        this->seeds.push_back(seed.ip);
    }
}

void LeaderSearch::setMembers(const GroupHint &hint)
{
    if (!hint.leaderIp.empty()) {
        keepLatest(this->namedLeaders, hint.leaderIp, maxNamedLeaders);
    }
    const bool isNewer = this->members.ips.empty() || hint.membersRevision > this->members.revision;
    if (isNewer && !hint.members.empty() && hint.members.size() <= maxMembers) {
        this->setConfirmedMembers({ hint.membersRevision, hint.members });
    }
}

// The former members stay candidates: the list may be that of another group, whose host has the
// address of a former member.
void LeaderSearch::setConfirmedMembers(const MemberList &list)
{
    const MemberList former = std::exchange(this->members, list);
    for (const auto &[slot, ip] : former.ips) {
        if (!contains(list, ip)) {
            keepLatest(this->formerMembers, ip, maxFormerMembers);
        }
    }
}

void LeaderSearch::expectUpdate(TimePoint dueAt)
{
    this->startAt = dueAt;
}

void LeaderSearch::postpone(TimePoint dueAt)
{
    if (this->startAt && !this->begunAt) {
        this->startAt = std::max(*this->startAt, dueAt);
    }
}

void LeaderSearch::start(TimePoint now)
{
    this->startAt = this->startAt ? std::min(*this->startAt, now) : now;
}

// The time of each host's next question stays, so that a host which answers as the leader and
// refuses the watch call is not asked without a pause.
void LeaderSearch::stop()
{
    this->startAt.reset();
    this->begunAt.reset();
    this->questions = 0;
    const std::vector<std::string> known = this->candidates();
    std::erase_if(this->hosts, [&known](const auto &host) {
        return std::find(known.begin(), known.end(), host.first) == known.end();
    });
    for (auto &[ip, host] : this->hosts) {
        host.connections.clear();
    }
}

void LeaderSearch::recordOpened(ConnectionNumber connection, TimePoint now)
{
    for (auto &[ip, host] : this->hosts) {
        for (Connection &known : host.connections) {
            if (known.number == connection && known.state == State::Opening) {
                known.state = State::Waiting;
                host.nextQuestionAt = now + questionInterval;
            }
        }
    }
}

void LeaderSearch::recordAnswer(ConnectionNumber connection)
{
    if (Connection *known = this->find(connection)) {
        known->state = State::Answered;
    }
}

void LeaderSearch::recordFailure(ConnectionNumber connection)
{
    for (auto &[ip, host] : this->hosts) {
        std::erase_if(host.connections,
                      [connection](const Connection &known) { return known.number == connection; });
    }
}

std::optional<TimePoint> LeaderSearch::nextStepAt() const
{
    std::optional<TimePoint> earliest;
    if (!this->startAt) {
        return earliest;
    }
    for (const std::string &ip : this->candidates()) {
        const std::optional<TimePoint> due = this->dueAt(ip);
        if (due && (!earliest || *due < *earliest)) {
            earliest = due;
        }
    }
    return earliest;
}

LeaderSearch::Step LeaderSearch::step(TimePoint now)
{
    Step result;
    if (!this->startAt || now < *this->startAt) {
        return result;
    }
    for (const std::string &ip : this->candidates()) {
        const std::optional<TimePoint> due = this->dueAt(ip);
        if (due && *due <= now) {
            this->ask(ip, now, result);
        }
    }
    if (!result.questions.empty() && !this->begunAt) {
        this->begunAt = now;
    }
    return result;
}

std::vector<std::string> LeaderSearch::candidates() const
{
    std::vector<std::string> result;
    for (const auto &[slot, ip] : this->members.ips) {
        addOnce(result, ip);
    }
    for (const auto *ips : { &this->seeds, &this->namedLeaders, &this->formerMembers }) {
        for (const std::string &ip : *ips) {
            addOnce(result, ip);
        }
    }
    return result;
}

// Returns when the host is asked next. While a connection to it is being opened, which repeats the
// attempt by itself, no other is begun.
std::optional<TimePoint> LeaderSearch::dueAt(const std::string &ip) const
{
    const auto found = this->hosts.find(ip);
    if (found == this->hosts.end()) {
        return this->startAt;
    }
    for (const Connection &connection : found->second.connections) {
        if (connection.state == State::Opening) {
            return std::nullopt;
        }
    }
    return std::max(*this->startAt, found->second.nextQuestionAt);
}

// If there are too many connections, the oldest is kept and the second oldest is closed: the oldest
// may only be slow, and an answer that takes longer than the others last must be able to arrive.
void LeaderSearch::ask(const std::string &ip, TimePoint now, Step &step)
{
    Host &host = this->hosts[ip];
    host.nextQuestionAt = now + questionInterval;
    ++this->questions;
    for (Connection &connection : host.connections) {
        if (connection.state == State::Answered) {
            connection.state = State::Waiting;
            step.questions.push_back({ ip, connection.number, false });
            return;
        }
    }
    if (host.connections.size() >= maxConnections) {
        step.closed.push_back(host.connections[1].number);
        host.connections.erase(host.connections.begin() + 1);
    }
    host.connections.push_back({ ++this->lastNumber, State::Opening });
    step.questions.push_back({ ip, this->lastNumber, true });
}

LeaderSearch::Connection *LeaderSearch::find(ConnectionNumber number)
{
    for (auto &[ip, host] : this->hosts) {
        for (Connection &connection : host.connections) {
            if (connection.number == number) {
                return &connection;
            }
        }
    }
    return nullptr;
}

} // namespace cassiaroad
