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
    , step(std::max(window / static_cast<std::int64_t>(steps - 1), Milliseconds { 1 }))
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

bool SiteRetryBudget::take(TimePoint now)
{
    Step &step = this->current(now);
    double requests = 0.0;
    double retries = 0.0;
    for (const Step &entry : this->ring) {
        requests += entry.requests;
        retries += entry.retries;
    }
    if (retries + 1.0 > usableFraction * (this->share * requests + this->slackPart(now))) {
        return false;
    }
    ++step.retries;
    return true;
}

} // namespace cassiaroad
