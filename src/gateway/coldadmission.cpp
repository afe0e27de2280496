#include "gateway/coldadmission.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

ColdAdmission::ColdAdmission(EventLoop &loop, std::string gateway)
    : loop(loop)
    , permits(std::move(gateway))
{ }

bool ColdAdmission::admits(const GatewayUpstream &upstream) const
{
    const TimePoint now = this->loop.now();
    return !upstream.isCold(now) || this->permits.has(upstream.upstream().address, now);
}

std::optional<PermitRefusal> ColdAdmission::ask(const GatewayUpstream &upstream)
{
    const SiteUpstream &known = upstream.upstream();
    const std::optional<PermitRefusal> refused
            = this->permits.ask(known.service, known.address, this->loop.now());
    if (!refused) {
        this->scheduleCall();
    }
    return refused;
}

Milliseconds ColdAdmission::refusedFor(const GatewayUpstream &upstream) const
{
    return this->permits.refusedFor(upstream.upstream().address, this->loop.now());
}

std::optional<TimePoint> ColdAdmission::take(const GatewayUpstream &upstream)
{
    const TimePoint now = this->loop.now();
    const HostAddress &address = upstream.upstream().address;
    if (!upstream.isCold(now) || !this->permits.has(address, now)) {
        return std::nullopt;
    }
    return this->permits.take(address);
}

void ColdAdmission::scheduleCall()
{
    if (const std::optional<Milliseconds> delay = this->permits.timeToCall(this->loop.now())) {
        this->callTimer = this->loop.callAfter(*delay, [this] { this->call(); });
    }
}

void ColdAdmission::call()
{
    const std::optional<PermitRequest> request = this->permits.takeCall(this->loop.now());
    if (!request) {
        this->scheduleCall();
        return;
    }
    const std::uint64_t number = ++this->lastCall;
    this->isCalling = true;
    const Done done = [this, number](const std::optional<PermitReply> &reply) {
        this->onDone(number, reply);
    };
    if (!this->caller || !this->caller(*request, done)) {
        this->onDone(number, std::nullopt);
        return;
    }
    // A later reply grants nothing that could still be used.
    this->replyTimer = this->loop.callAfter(coldPermitLifetime, [done] { done(std::nullopt); });
}

void ColdAdmission::onDone(std::uint64_t number, const std::optional<PermitReply> &reply)
{
    if (number != this->lastCall || !std::exchange(this->isCalling, false)) {
        return;
    }
    this->replyTimer = EventLoop::Timer();
    if (reply) {
        this->permits.onReply(*reply, this->loop.now());
    } else {
        this->permits.onFailure(this->loop.now());
    }
    this->resumeWaits();
    this->scheduleCall();
}

std::uint64_t ColdAdmission::wait(const GatewayUpstream &upstream, std::function<void()> resume)
{
    const std::uint64_t nextCall = this->lastCall + 1;
    this->waits[++this->lastWait] = { upstream.upstream().address, nextCall, std::move(resume) };
    return this->lastWait;
}

void ColdAdmission::cancelWait(std::uint64_t number)
{
    const auto found = this->waits.find(number);
    if (found == this->waits.end()) {
        return;
    }
    if (found->second.call > this->lastCall) {
        this->permits.withdraw(found->second.address);
    }
    this->waits.erase(found);
}

// Resumes the requests that the last call has asked for. A call of one may end others, which cancel
// their waits, so each is looked up again in its turn.
void ColdAdmission::resumeWaits()
{
    const std::uint64_t call = this->lastCall;
    const auto isDecided = [call](const auto &entry) { return entry.second.call <= call; };
    for (auto next = std::find_if(this->waits.begin(), this->waits.end(), isDecided);
         next != this->waits.end();
         next = std::find_if(this->waits.begin(), this->waits.end(), isDecided)) {
        const std::function<void()> resume = std::move(next->second.resume);
        this->waits.erase(next);
        resume();
    }
}

} // namespace cassiaroad
