#pragma once

#include "process/clock.h"

namespace cassiaroad {

/**
 * Tokens that arise at a rate, each for the start of one request. One that is not used stays, and
 * no other arises before it is used. Not thread-safe.
 */
class TokenBucket
{
public:
    /** @p phase, from 0 to 1: part of the time between two tokens that has passed at @p now. */
    TokenBucket(double phase, double perSecond, TimePoint now);

    /** Sets the rate at which tokens arise from @p now on; 0: none. */
    void setRate(double perSecond, TimePoint now);

    bool hasToken(TimePoint now) const;
    /** Returns the time until there is a token, at most maxWait. */
    Milliseconds timeToToken(TimePoint now) const;
    /** Returns the time between two tokens, at most maxWait. */
    Milliseconds interval() const;
    void take(TimePoint now);

private:
    double creditAt(TimePoint now) const;

    double credit; // tokens at `updatedAt`, with a fraction
    double perSecond;
    TimePoint updatedAt;
};

} // namespace cassiaroad
