#pragma once

#include "version/crashledger.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cassiaroad {

/**
 * Trials of blocked requests that a gateway has asked the leader for, and those that it was
 * granted. A gateway asks only while it has such a request, so that a trial is used at once. Pure;
 * not thread-safe.
 */
class TrialRequests
{
public:
    /** @p gateway is the name under which this gateway reports to the leader. */
    explicit TrialRequests(std::string gateway = {})
        : gateway(std::move(gateway))
    { }

    /**
     * Asks for a trial of @p request in the next report, if one is due by @p ledger and none is
     * asked for. Returns whether it asked.
     */
    bool ask(RequestDigest request, const CrashLedger &ledger, TimePoint now);

    /** Whether the leader has not decided yet about a trial of @p request. */
    bool isAsked(RequestDigest request) const { return this->asked.contains(request); }

    /** Takes a trial of @p request that was granted. Returns whether there was one. */
    bool take(RequestDigest request) { return this->granted.erase(request) > 0; }

    /** The trial that was taken was not made: no upstream has got the request. */
    void giveBack(RequestDigest request, const CrashLedger &ledger);

    /**
     * Applies what the leader has decided, as @p ledger tells. Returns whether it has decided about
     * a trial that this gateway has asked for.
     */
    bool update(const CrashLedger &ledger);

    /** Returns the requests that were asked for since the previous call. */
    std::vector<RequestDigest> takeReport();

private:
    /** A trial that was asked for. */
    struct Ask
    {
        std::uint32_t earlierTrials = 0; // that were granted before
        TimePoint askedAt;
    };

    std::string gateway;
    std::map<RequestDigest, Ask> asked;
    std::set<RequestDigest> granted;
    std::vector<RequestDigest> unreported;
};

} // namespace cassiaroad
