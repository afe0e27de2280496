#pragma once

#include "version/permitcall.h"

#include <map>

namespace cassiaroad {

/** How long a gateway may use a permit, from the time at which it asked for it. */
constexpr Milliseconds coldPermitLifetime { 500 };

/** Bounds of what a cold upstream gets in any second; see SiteBounds. */
struct ColdBounds
{
    double over = 1.5; // multiple of the rate that its service states
    double slack = 8.0; // additional requests

    bool operator==(const ColdBounds &) const = default;
};

/**
 * Grants permits for requests to cold upstreams at the leader, so that no upstream gets more than
 * rate x over + slack requests in any second, whatever the demand, the number of gateways and the
 * order of changes. A request is sent at most coldPermitLifetime after its permit was granted, so
 * the requests of a second have permits of a window of one second and this lifetime. A token bucket
 * bounds the permits of each such window.
 *
 * An address is what a request reaches, so permits are counted by address: two incarnations of an
 * upstream at one address share them. Pure; not thread-safe.
 */
class ColdPermits
{
public:
    explicit ColdPermits(ColdBounds bounds);

    /**
     * Forgets all grants. Those of an earlier leader may still be used, so none are made until
     * their window is over.
     */
    void startTerm(TimePoint now);

    /**
     * Grants up to @p ask.count permits for requests to the upstream at @p ask.address, whose
     * service states @p statedRate requests per second.
     */
    PermitGrant grant(const PermitAsk &ask, double statedRate, TimePoint now);

    /** Forgets the addresses for which as much may be granted as for a new one. */
    void forgetIdle(TimePoint now);

    /** Number of addresses whose grants are remembered. */
    std::size_t size() const { return this->buckets.size(); }

private:
    /** Permits that may be granted for one address. */
    struct Bucket
    {
        double statedRate = 0.0;
        double perSecond = 0.0; // tokens
        double capacity = 0.0;
        double tokens = 0.0; // at `updatedAt`
        TimePoint updatedAt;
        TimePoint grantsFrom; // none before
        TimePoint lastGrantAt;
        TimePoint lastRetryAt; // as told to the gateway that was refused last

        void refill(TimePoint now);
    };

    Bucket newBucket(double statedRate, TimePoint grantsFrom, TimePoint now) const;
    Bucket &bucketOf(const HostAddress &address, double statedRate, TimePoint now);
    static Milliseconds retryAfter(Bucket &bucket, TimePoint now);

    ColdBounds bounds;
    TimePoint termStart;
    std::map<HostAddress, Bucket> buckets;
};

} // namespace cassiaroad
