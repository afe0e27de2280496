#pragma once

#include "gateway/trialrequests.h"
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
    /** @p gateway is the name under which this gateway reports to the leader. */
    explicit CrashGuard(std::string gateway = {})
        : trialRequests(std::move(gateway))
    { }

    /** The connection of an attempt broke before its upstream answered. Returns whether it counts.
     */
    bool recordBroken(const BrokenAttempt &broken, TimePoint now);

    /** An upstream has run the request and answered. */
    void recordAnswered(RequestDigest request, TimePoint now);

    const CrashLedger &ledger() const { return this->crashes; }
    /** Trials of the requests that the ledger blocks. */
    TrialRequests &trials() { return this->trialRequests; }

    /** Adds to @p report what the leader does not know yet. */
    void fillReport(GatewayReport &report, TimePoint now);

    /**
     * Applies the leader's reply to the previous report. Returns whether the leader has decided
     * about a trial that this gateway has asked for.
     */
    bool applyUpdate(const GatewayUpdate &update, TimePoint now);
    /** As applyUpdate(), for the reply to an earlier report; the previous one may be lost. */
    bool applyLateUpdate(const GatewayUpdate &update, TimePoint now);

private:
    /** Values that wait for the confirmation of the leader. */
    template <typename Value>
    class PendingReports
    {
    public:
        void add(const Value &value);
        /** Returns all values; confirm() removes them. */
        std::vector<Value> report();
        void confirm();

    private:
        std::deque<Value> values;
        std::size_t reported = 0; // the first of the values, in the previous report
    };

    /** An attempt that the leader does not know yet. */
    struct PendingAttempt
    {
        RequestDigest request = 0;
        AttemptId attempt = 0;
        TimePoint brokenAt;
    };

    /**
     * Requests that were answered lately: the older half is dropped when the newer one is full, or
     * after some time.
     */
    class AnsweredRequests
    {
    public:
        bool contains(RequestDigest request, TimePoint now);
        void insert(RequestDigest request, TimePoint now);

    private:
        void dropOld(TimePoint now);

        std::unordered_set<RequestDigest> newer;
        std::unordered_set<RequestDigest> older;
        TimePoint newerSince;
    };

    void addPending(const BrokenAttempt &broken, TimePoint now);
    void clear(RequestDigest request, TimePoint now);
    void clearAnswered(const std::vector<SuspectRequest> &suspects, TimePoint now);

    CrashLedger crashes;
    AnsweredRequests answered;
    TrialRequests trialRequests;
    PendingReports<PendingAttempt> pendingBroken;
    PendingReports<RequestDigest> pendingAnswers;
    std::uint64_t leaderTag = 0; // of the leader's list that was received last
};

} // namespace cassiaroad
