#pragma once

#include "version/crashledger.h"
#include "version/sitewatch.h"

#include <deque>
#include <unordered_set>

namespace cassiaroad {

/**
 * What a gateway knows of requests that crash upstreams: what it has seen itself, and what the
 * leader tells of other gateways. A request that an upstream has answered lately is not suspected,
 * so that the usual requests which an upstream takes along when it crashes stay free of suspicion.
 * Pure; not thread-safe.
 */
class CrashGuard
{
public:
    /** The connection of the request broke before @p upstream answered. Returns whether it counts.
     */
    bool recordBroken(RequestDigest request, const UpstreamIncarnation &upstream, TimePoint now);

    /** An upstream has run the request and answered. */
    void recordAnswered(RequestDigest request, TimePoint now);

    const CrashLedger &ledger() const { return this->crashes; }

    /** Adds to @p report what the leader does not know yet. */
    void fillReport(GatewayReport &report);

    /** Applies the leader's reply to the previous report. */
    void applyUpdate(const GatewayUpdate &update, TimePoint now);

private:
    void confirmReport();
    void addPending(const CrashSighting &sighting);

    /** Requests that were answered lately: the older half is dropped when the newer one is full. */
    struct AnsweredRequests
    {
        bool contains(RequestDigest request) const;
        void insert(RequestDigest request);

        std::unordered_set<RequestDigest> newer;
        std::unordered_set<RequestDigest> older;
    };

    CrashLedger crashes;
    AnsweredRequests answered;
    std::deque<CrashSighting> pendingCrashes; // not confirmed by the leader
    std::deque<RequestDigest> pendingAnswers; // likewise
    std::size_t reportedCrashes = 0; // the first of the pending ones, in the previous report
    std::size_t reportedAnswers = 0; // likewise
    std::uint64_t leaderTag = 0; // of the leader's list that was received last
};

} // namespace cassiaroad
