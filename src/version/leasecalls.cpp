#include "version/leasecalls.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

// Calls without a result: for one lease, and to all upstreams of a service. Upstreams that do not
// respond have at most the first number each, so the second one bounds only bursts.
constexpr std::size_t maxOpenPerLease = 3;
constexpr std::size_t maxOpen = 500;
// Interval of the updates while calls wait for others to end.
constexpr Milliseconds waitInterval { 50 };
// An upstream without any due call is updated this often, to find releases that are due.
constexpr Milliseconds idleInterval { 1000 };

// Removes what is no longer asked for, unless a call for it is open.
template <typename Map, typename Predicate>
void removeOthers(Map &progress, Predicate isWanted)
{
    std::erase_if(progress, [&](const auto &entry) {
        return entry.second.open.empty() && !isWanted(entry.first);
    });
}

} // namespace

/** Applies the result of a call to its progress. */
struct LeaseCalls::ResultVisitor
{
    UpstreamCalls &calls;
    Progress &progress;
    TimePoint sentAt;

    void operator()(const LeaseCallAccepted & /*result*/) const
    {
        this->progress.accepted = true;
        this->progress.acceptedAt = std::max(this->progress.acceptedAt, this->sentAt);
    }
    void operator()(const LeaseCallRefused & /*result*/) const { this->progress.refused = true; }
    void operator()(const LeaseCallNotSent & /*result*/) const { this->calls.mayGrant = false; }
    void operator()(const LeaseCallBroken & /*result*/) const { this->calls.mayGrant = false; }
    void operator()(const LeaseCallTimedOut & /*result*/) const { }
};

void LeaseCalls::startTerm()
{
    this->upstreams.clear();
    this->open.clear();
}

void LeaseCalls::onHeartbeat(const UpstreamIncarnation &upstream)
{
    UpstreamCalls &calls = this->upstreams[upstream];
    calls.mayGrant = true;
    calls.wakeAt = {};
}

void LeaseCalls::suspend(const UpstreamIncarnation &upstream)
{
    const auto found = this->upstreams.find(upstream);
    if (found != this->upstreams.end()) {
        found->second.mayGrant = false;
    }
}

void LeaseCalls::wake(const UpstreamIncarnation &upstream)
{
    const auto found = this->upstreams.find(upstream);
    if (found != this->upstreams.end()) {
        found->second.wakeAt = {};
    }
}

std::vector<UpstreamIncarnation> LeaseCalls::due(TimePoint now) const
{
    std::vector<UpstreamIncarnation> result;
    for (const auto &[upstream, calls] : this->upstreams) {
        if (calls.wakeAt <= now) {
            result.push_back(upstream);
        }
    }
    return result;
}

bool LeaseCalls::hasOpenGrant(const UpstreamCalls &calls, const KeyRange &range) const
{
    return std::any_of(calls.grants.begin(), calls.grants.end(), [&](const auto &entry) {
        return !entry.second.open.empty() && entry.first.first.overlaps(range);
    });
}

// Whether one more call for the same lease may be open.
bool LeaseCalls::canSend(const Progress &progress, TimePoint now) const
{
    return progress.open.size() < maxOpenPerLease && this->open.size() < maxOpen
           && now >= progress.lastSentAt + this->timing.repeatInterval;
}

TimePoint LeaseCalls::nextGrantAt(const Progress &progress) const
{
    const TimePoint repeatAt = progress.lastSentAt + this->timing.repeatInterval;
    return progress.accepted ? std::max(progress.acceptedAt + this->timing.renewInterval, repeatAt)
                             : repeatAt;
}

LeaseCall LeaseCalls::start(const SiteUpstream &upstream, Progress &progress, LeaseCallBody body,
                            std::uint64_t &nextNumber, TimePoint now)
{
    const bool isGrant = std::holds_alternative<GrantCall>(body);
    const Milliseconds timeout = isGrant ? this->timing.grantTimeout : this->timing.releaseTimeout;
    LeaseCall call { nextNumber++, upstream.incarnation, upstream.address, std::move(body),
                     timeout };
    progress.lastSentAt = now;
    progress.open.insert(call.number);
    this->open.emplace(call.number, EndedLeaseCall { call, now });
    return call;
}

std::vector<LeaseCall> LeaseCalls::update(const SiteUpstream &upstream, const LeaseTarget &target,
                                          std::uint64_t &nextNumber, TimePoint now)
{
    UpstreamCalls &calls = this->upstreams[upstream.incarnation];
    std::vector<LeaseCall> result;
    std::set<Subject> wanted;
    for (const ReleaseCall &release : target.releases) {
        const Subject subject { release.range, release.fence };
        wanted.insert(subject);
        Progress &progress = calls.releases[subject];
        // A grant that arrives after the release would give the range back.
        if (!progress.accepted && this->canSend(progress, now)
            && !this->hasOpenGrant(calls, release.range)) {
            result.push_back(this->start(upstream, progress, release, nextNumber, now));
        }
    }
    removeOthers(calls.releases, [&](const Subject &subject) { return wanted.contains(subject); });
    wanted.clear();
    for (const RangeLease &lease : target.leases) {
        const Subject subject { lease.range, lease.fence };
        wanted.insert(subject);
        Progress &progress = calls.grants[subject];
        if (calls.mayGrant && !progress.refused && now >= this->nextGrantAt(progress)
            && this->canSend(progress, now)) {
            const GrantCall grant { lease, this->timing.leaseDuration };
            result.push_back(this->start(upstream, progress, grant, nextNumber, now));
        }
    }
    removeOthers(calls.grants, [&](const Subject &subject) { return wanted.contains(subject); });
    calls.wakeAt = this->nextUpdateAt(calls, now);
    return result;
}

TimePoint LeaseCalls::nextUpdateAt(const UpstreamCalls &calls, TimePoint now) const
{
    TimePoint next = now + idleInterval;
    for (const auto &[subject, progress] : calls.releases) {
        if (!progress.accepted) {
            next = std::min(next, progress.lastSentAt + this->timing.repeatInterval);
        }
    }
    for (const auto &[subject, progress] : calls.grants) {
        if (calls.mayGrant && !progress.refused) {
            next = std::min(next, this->nextGrantAt(progress));
        }
    }
    return std::max(next, now + waitInterval);
}

std::optional<EndedLeaseCall> LeaseCalls::end(std::uint64_t number, const LeaseCallResult &result)
{
    const auto found = this->open.find(number);
    if (found == this->open.end()) {
        return std::nullopt;
    }
    EndedLeaseCall ended = std::move(found->second);
    this->open.erase(found);
    const auto calls = this->upstreams.find(ended.call.upstream);
    if (calls == this->upstreams.end()) {
        return ended;
    }
    for (auto *subjects : { &calls->second.grants, &calls->second.releases }) {
        for (auto &[subject, progress] : *subjects) {
            if (progress.open.erase(number) > 0) {
                std::visit(ResultVisitor { calls->second, progress, ended.sentAt }, result);
            }
        }
    }
    calls->second.wakeAt = {};
    return ended;
}

} // namespace cassiaroad
