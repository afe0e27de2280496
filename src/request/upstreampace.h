#pragma once

#include "request/tokenbucket.h"

#include <optional>

namespace cassiaroad {

/** Decision of the leader which share of its requests for an upstream a gateway starts there. */
struct AdmittedShare
{
    double share = 1.0;
    TimePoint until;
};

/**
 * Decides when one gateway may start requests at one upstream that is recovering or full. Otherwise
 * there is no limit. Gateways do not see each other's requests, so each uses its share of the rate
 * of a full upstream, without a minimum, and at times that differ between gateways. Pure; not
 * thread-safe.
 */
class UpstreamPace
{
public:
    /** What limits the requests. */
    enum class Limit { None, Recovering, Full };

    /** @p phase, from 0 to 1, spreads the first tokens over the gateways. */
    explicit UpstreamPace(double phase);

    /** Sets the share of requests that the leader admits. Nothing: no decision. */
    void setAdmitted(const std::optional<AdmittedShare> &value) { this->admitted = value; }
    /** Sets how many requests per second this gateway may start at the upstream while it is full.
     */
    void setFullRate(double perSecond, TimePoint now);

    /**
     * Records that the upstream has refused a request or a connection because it is full. Several
     * in a row limit the requests.
     */
    void recordRefused(TimePoint now);
    /** Records a response; @p hasRoom: the upstream has reported that it can take more. */
    void recordResponse(bool hasRoom, TimePoint now);

    /** Returns what limits the requests at @p now, whether a request may be started or not. */
    Limit limit(TimePoint now) const;
    /** Whether a request may be started at @p now. */
    bool allows(TimePoint now) const { return this->timeLeft(now) == Milliseconds {}; }
    /**
     * Whether the leader's share decides about each request once: one that is turned away would be
     * counted twice if it tried again.
     */
    bool isShared(TimePoint now) const { return this->admitted && now < this->admitted->until; }
    /** Returns the time until a request may be started; 0: at once. */
    Milliseconds timeLeft(TimePoint now) const;
    /** Records that a request is started. */
    void take(TimePoint now);
    /**
     * Records that a request cannot be started now. Returns the time after which it may be tried
     * again; the times of several requests are spread over the time between two tokens.
     */
    Milliseconds turnAway(TimePoint now);

private:
    bool isFull(TimePoint now) const { return this->fullTokens && now < this->fullUntil; }
    void extendFull(TimePoint now);
    bool hasCredit() const;
    void takeShared();

    double phase;
    std::optional<AdmittedShare> admitted;
    double credit; // sum of the shares of requests, less those started; error diffusion
    std::uint32_t refusalsInRow = 0; // without a response in between
    double fullPerSecond = 1.0; // without `correction`
    double correction = 1.0; // of the rate while the upstream is full
    std::optional<TokenBucket> fullTokens;
    TimePoint fullUntil;
    TimePoint nextDecrease;
    std::uint32_t turnedAway = 0; // since the last token was used
};

/** Returns the name of @p limit in logs, metrics and the route preview. Thread-safe. */
const char *limitName(UpstreamPace::Limit limit);

} // namespace cassiaroad
