#pragma once

#include <cstdint>

namespace cassiaroad {

/**
 * Share of requests that may be sent again. Without it, retries multiply the load of upstreams that
 * are already failing. Not thread-safe.
 */
class RetryBudget
{
public:
    /** @p percent: retries per 100 requests. A few retries are allowed before any request. */
    explicit RetryBudget(std::uint32_t percent)
        : percent(percent)
        , credit(percent > 0 ? initialCredit : 0)
    { }

    void countRequest();

    /** Takes one retry from the budget; returns false if it is used up. */
    bool take();

    void setPercent(std::uint32_t value) { this->percent = value; }

private:
    static constexpr std::int64_t retryCost = 100;
    static constexpr std::int64_t initialCredit = 5 * retryCost;
    static constexpr std::int64_t maxCredit = 50 * retryCost; // limits a burst after an idle period

    std::uint32_t percent;
    std::int64_t credit;
};

} // namespace cassiaroad
