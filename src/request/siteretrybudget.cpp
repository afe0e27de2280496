#include "request/siteretrybudget.h"

#include "version/sitewatch.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// Part of the budget that is used. Requests and retries are counted when they are decided on, but
// arrive at upstreams later.
constexpr double usableFraction = 0.8;

} // namespace

SiteRetryBudget::SiteRetryBudget(double share, double slack, Milliseconds window)
    : share(share)
    , slack(slack)
    , window(window)
    , step(std::max((window + Milliseconds { windowSteps - 1 }) / windowSteps, Milliseconds { 1 }))
{ }

void SiteRetryBudget::setGateways(std::uint32_t count, TimePoint confirmedAt)
{
    this->gateways = std::max<double>(count, 1.0);
    if (!this->slackUntil || confirmedAt >= *this->slackUntil + this->window) {
        this->slackSince = confirmedAt + gatewayCountLease + this->window;
    }
    this->slackUntil = confirmedAt + gatewayCountLease;
}

// Returns the step of @p now, after clearing the steps that have left the window.
SiteRetryBudget::Step &SiteRetryBudget::current(TimePoint now)
{
    const std::int64_t wanted = now.sinceOrigin / this->step.count;
    if (wanted - this->position >= static_cast<std::int64_t>(steps)) {
        this->ring.fill({});
        this->position = wanted;
    }
    while (this->position < wanted) {
        ++this->position;
        this->ring[static_cast<std::size_t>(this->position) % steps] = {};
    }
    return this->ring[static_cast<std::size_t>(this->position) % steps];
}

void SiteRetryBudget::countRequest(TimePoint now)
{
    ++this->current(now).requests;
}

// Part of the fixed number that this gateway may use.
double SiteRetryBudget::slackPart(TimePoint now) const
{
    const bool isUsable = now >= this->slackSince && now < this->slackUntil.value_or(now);
    return isUsable ? this->slack / this->gateways : 0.0;
}

// Returns the step @p count steps before the current one. Precondition: @p count < steps.
const SiteRetryBudget::Step &SiteRetryBudget::stepBefore(std::int64_t count) const
{
    const std::int64_t wanted = this->position - count + static_cast<std::int64_t>(steps);
    return this->ring[static_cast<std::size_t>(wanted) % steps];
}

// Whether one more retry exceeds no limit. A window that begins within a step may contain its
// retries; the window before it contains all requests of the steps that are fewer than windowSteps
// before that one.
bool SiteRetryBudget::hasRoom(double fixedPart) const
{
    double requests = 0.0;
    for (std::int64_t i = 0; i < windowSteps - 1; ++i) {
        requests += this->stepBefore(i).requests;
    }
    double retries = 1.0;
    for (std::int64_t first = 0; first <= windowSteps; ++first) {
        retries += this->stepBefore(first).retries;
        requests += this->stepBefore(first + windowSteps - 1).requests;
        if (retries > usableFraction * (this->share / 2.0 * requests + fixedPart)) {
            return false;
        }
    }
    return true;
}

bool SiteRetryBudget::take(TimePoint now)
{
    Step &step = this->current(now);
    if (!this->hasRoom(this->slackPart(now))) {
        return false;
    }
    ++step.retries;
    return true;
}

} // namespace cassiaroad
