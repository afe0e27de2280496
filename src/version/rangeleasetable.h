#pragma once

#include "version/calledleases.h"
#include "version/rangetable.h"
#include "version/siteconfiguration.h"
#include "version/upstreamreport.h"

#include <functional>
#include <map>
#include <vector>

namespace cassiaroad {

/** Lease duration of the ranges in a response to a heartbeat. */
struct LeaseTiming
{
    /** By the upstream's clock, from the moment it sent the heartbeat. */
    Milliseconds leaseDuration { 4000 };
    /** By the leader's clock, from its response: `leaseDuration` plus the tolerated clock drift. */
    Milliseconds leaseDurationOnLeaderClock { 4200 };
    /** From the moment a grant is sent by a call until it has arrived, or never will. */
    Milliseconds callTimeout { 600 };

    bool operator==(const LeaseTiming &) const = default;
};

/**
 * Range leases that may be valid, as far as the leader knows. A range may be transferred to another
 * owner only once isReleased() returns true for it. Pure; not thread-safe.
 */
class RangeLeaseTable
{
public:
    explicit RangeLeaseTable(LeaseTiming timing)
        : timing(timing)
    { }

    /**
     * Clears the table at the start of a leader's term. Leases that earlier leaders granted count
     * as possibly valid until LeaseTiming::leaseDurationOnLeaderClock has passed since @p now.
     */
    void startTerm(TimePoint now);

    /**
     * Sets the highest fencing token of @p service when the term started, and how its upstreams
     * receive their leases.
     */
    void setFenceAtStart(const std::string &service, FencingToken fence,
                         LeaseDelivery delivery = LeaseDelivery::Heartbeat);

    /**
     * Records the leases that a heartbeat reports. Precondition: @p sequence is higher than that of
     * each earlier heartbeat of the incarnation.
     */
    void recordReport(const UpstreamIncarnation &incarnation, std::uint64_t sequence,
                      const std::vector<RangeLease> &leases);

    /**
     * Records that the response to the heartbeat with @p sequence grants @p leases. Returns whether
     * one of them is granted for the first time in this term.
     */
    bool recordResponse(const UpstreamIncarnation &incarnation, std::uint64_t sequence,
                        const std::vector<RangeLease> &leases, TimePoint now);

    // Leases that are granted by calls; see CalledLeases.

    /** Records that call @p number, which grants @p lease, is sent at @p now. */
    void recordGrantSent(const UpstreamIncarnation &incarnation, std::uint64_t number,
                         const RangeLease &lease, TimePoint now);
    /** See CalledLeases::recordAccepted(); the response arrived at @p now. */
    bool recordGrantAccepted(const UpstreamIncarnation &incarnation, std::uint64_t number,
                             TimePoint now);
    /** See CalledLeases::recordWithoutEffect(). */
    void recordGrantWithoutEffect(const UpstreamIncarnation &incarnation, std::uint64_t number);
    /** See CalledLeases::recordReleased(). */
    void recordReleased(const UpstreamIncarnation &incarnation, const KeyRange &range,
                        FencingToken fence);

    /**
     * Records that an incarnation has certainly ended, and its leases with it; see claimOf() for
     * what proves that.
     */
    void recordEnded(const UpstreamIncarnation &incarnation)
    {
        this->incarnations[incarnation].hasEnded = true;
    }

    /**
     * Forgets the incarnations for which @p isRegistered is false, once no lease of theirs may be
     * valid.
     */
    void forgetOthers(const std::function<bool(const UpstreamIncarnation &)> &isRegistered,
                      TimePoint now);

    /**
     * Whether the owner of @p owner certainly has no valid lease on @p range any more.
     * Precondition: @p range is a part of the range of @p owner.
     */
    bool isReleased(const std::string &service, const RangeOwner &owner, const KeyRange &range,
                    TimePoint now) const;

    /**
     * Whether the response of the owner to a release proves that it has no valid lease. It does not
     * while a grant of an earlier leader may be applied late.
     */
    bool canConfirmRelease(const std::string &service, const RangeOwner &owner,
                           TimePoint now) const;

    /** Whether a lease on the range of @p owner was granted in this term. */
    bool isGranted(const RangeOwner &owner) const;

    /** Whether @p owner was committed after the term had started. */
    bool isFromThisTerm(const std::string &service, const RangeOwner &owner) const;

private:
    struct IncarnationLeases
    {
        std::map<FencingToken, TimePoint> grantedUntil; // by the leader's clock
        std::vector<RangeLease> lastResponse;
        std::vector<RangeLease> responseBeforeReport; // latest response before the last report
        std::vector<RangeLease> lastReport;
        std::uint64_t lastResponseSequence = 0; // of the heartbeat that it responds to
        bool hasResponse = false;
        bool reportedAfterResponse = false; // the last report was sent after that heartbeat
        CalledLeases calls;
        bool hasEnded = false; // see recordEnded()
    };

    /** A service at the start of the term. */
    struct ServiceAtStart
    {
        FencingToken fence = 0; // the highest
        LeaseDelivery delivery = LeaseDelivery::Heartbeat;
    };

    TimePoint endOfEarlierLeases(const std::string &service) const;
    bool mayHaveLease(const std::string &service, const RangeOwner &owner,
                      const IncarnationLeases *leases, TimePoint now) const;

    LeaseTiming timing;
    TimePoint termStart;
    std::map<std::string, ServiceAtStart> servicesAtStart; // by name
    std::map<UpstreamIncarnation, IncarnationLeases> incarnations;
};

} // namespace cassiaroad
