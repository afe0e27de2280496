#include "version/recoverypace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cassiaroad {

namespace {

// Upstreams that are first seen so soon after the start of a term may have served for long.
constexpr Milliseconds settlingTime { 5000 };
constexpr Milliseconds updateInterval { 100 };
constexpr double firstShare = 0.125;
constexpr double minShare = 0.0625;
// Factors of a step. Without responses to judge by, a share of 1 is reached within 12 s.
constexpr double quickFactor = 1.5;
constexpr double slowFactor = 1.1;
constexpr double fallFactor = 0.5;
// Mean durations in multiples of the reference: at most that of a quick upstream, and more than
// that of one that slows down. Upstreams of a service differ in speed.
constexpr double quickDuration = 1.5;
constexpr double slowDuration = 2.0;
constexpr double minRequests = 3.0; // that a verdict needs
constexpr double serviceDecay = 0.9; // of the durations of a service, in a step

} // namespace

void RecoveryPace::startTerm(TimePoint now)
{
    this->termStart = now;
    this->steppedAt = {};
    this->updatedAt = {};
    this->upstreams.clear();
    this->serviceTimings.clear();
}

void RecoveryPace::recordTiming(const std::string &id, std::uint32_t requests,
                                Milliseconds duration)
{
    const auto found = this->upstreams.find(id);
    if (found != this->upstreams.end()) {
        found->second.timing.requests += requests;
        found->second.timing.milliseconds += static_cast<double>(duration.count);
    }
}

bool RecoveryPace::isDue(TimePoint now) const
{
    return now - this->updatedAt >= updateInterval;
}

void RecoveryPace::update(const std::vector<RecoveryCandidate> &present, TimePoint now)
{
    this->updatedAt = now;
    this->observe(present, now);
    this->releaseMajorities();
    if (now - this->steppedAt < shareStepInterval) {
        return;
    }
    this->steppedAt = now;
    this->addServiceTimings();
    for (auto &[id, upstream] : this->upstreams) {
        if (upstream.share) {
            this->step(upstream);
        }
    }
}

// Takes over the present upstreams, and lets those recover that are new or heard again.
void RecoveryPace::observe(const std::vector<RecoveryCandidate> &present, TimePoint now)
{
    const bool isSettled = now - this->termStart >= settlingTime;
    std::map<std::string, Upstream> observed;
    for (const RecoveryCandidate &candidate : present) {
        const auto known = this->upstreams.find(candidate.incarnation.id);
        const bool isNew = known == this->upstreams.end()
                           || known->second.incarnation != candidate.incarnation;
        Upstream &upstream = observed[candidate.incarnation.id];
        upstream = isNew ? Upstream {} : std::move(known->second);
        const bool isBack = !candidate.silent && (isNew || upstream.silent);
        upstream.incarnation = candidate.incarnation;
        upstream.service = candidate.service;
        upstream.silent = candidate.silent;
        if (isBack && isSettled) {
            upstream.share = firstShare;
            upstream.timing = {};
            upstream.bestMilliseconds.reset();
        }
    }
    this->upstreams = std::move(observed);
}

// If more than half of a service recovers, as when the whole site starts, the others cannot take
// the requests that recovering upstreams do not get.
void RecoveryPace::releaseMajorities()
{
    std::map<std::string, std::pair<int, int>> counts; // available and recovering, by service
    for (const auto &[id, upstream] : this->upstreams) {
        std::pair<int, int> &count = counts[upstream.service];
        count.first += upstream.silent ? 0 : 1;
        count.second += !upstream.silent && upstream.share ? 1 : 0;
    }
    for (auto &[id, upstream] : this->upstreams) {
        const auto &[available, recovering] = counts.at(upstream.service);
        if (recovering * 2 > available) {
            upstream.share.reset();
        }
    }
}

void RecoveryPace::addServiceTimings()
{
    for (auto &[service, timing] : this->serviceTimings) {
        timing = { timing.requests * serviceDecay, timing.milliseconds * serviceDecay };
    }
    for (auto &[id, upstream] : this->upstreams) {
        if (!upstream.share) {
            Timing &timing = this->serviceTimings[upstream.service];
            timing.requests += upstream.timing.requests;
            timing.milliseconds += upstream.timing.milliseconds;
            upstream.timing = {};
        }
    }
}

void RecoveryPace::step(Upstream &upstream) const
{
    const double share = std::max(*upstream.share * this->factorOf(upstream), minShare);
    upstream.share = share < 1.0 ? std::optional(share) : std::nullopt;
}

// Returns the factor of the share in a step, by the durations since the last verdict. An upstream
// that is slower than the others at a small share is compared with itself.
double RecoveryPace::factorOf(Upstream &upstream) const
{
    if (upstream.timing.requests < minRequests) {
        return slowFactor;
    }
    const double mean = std::exchange(upstream.timing, {}).mean();
    const auto service = this->serviceTimings.find(upstream.service);
    const bool isServiceKnown
            = service != this->serviceTimings.end() && service->second.requests >= minRequests;
    const double own = upstream.bestMilliseconds.value_or(isServiceKnown ? 0.0 : mean);
    const double reference = std::max(isServiceKnown ? service->second.mean() : 0.0, own);
    upstream.bestMilliseconds = std::min(upstream.bestMilliseconds.value_or(mean), mean);
    if (mean <= reference * quickDuration) {
        return quickFactor;
    }
    return mean > reference * slowDuration ? fallFactor : 1.0;
}

// Shares are rounded down to powers of two, so that a recovery changes few entries of the routing
// table.
std::optional<std::uint16_t> RecoveryPace::share(const UpstreamIncarnation &incarnation) const
{
    const auto found = this->upstreams.find(incarnation.id);
    if (found == this->upstreams.end() || found->second.incarnation != incarnation
        || !found->second.share) {
        return std::nullopt;
    }
    const double rounded = std::exp2(std::floor(std::log2(*found->second.share)));
    return static_cast<std::uint16_t>(rounded * wholeShare);
}

} // namespace cassiaroad
