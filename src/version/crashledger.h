#pragma once

#include "process/clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassiaroad {

/** Digest of what a request asks for; requests with the same content have the same digest. */
using RequestDigest = std::uint64_t;

/** Identifies one attempt to have a request run; the same on all hosts. */
using AttemptId = std::uint64_t;

/** An attempt whose connection broke before its upstream answered: the upstream may have crashed.
 */
struct BrokenAttempt
{
    RequestDigest request = 0;
    AttemptId attempt = 0;
    Milliseconds age; // time since it was seen
    std::uint32_t trials = 0; // that were granted for its request since

    bool operator==(const BrokenAttempt &) const = default;
};

/** Trials of a blocked request that were granted; see CrashLedger::grantTrial(). */
struct RequestTrials
{
    std::uint32_t count = 0;
    std::string gateway; // that may make the last one; empty: it is not known

    bool operator==(const RequestTrials &) const = default;
};

/** The broken attempts of a request. None: an upstream has answered it since. */
struct SuspectRequest
{
    RequestDigest request = 0;
    std::vector<AttemptId> attempts;
    Milliseconds age; // time since the last broken attempt or the answer
    RequestTrials trials;

    bool operator==(const SuspectRequest &) const = default;
};

/**
 * Requests under which upstreams may have crashed. After three broken attempts without an answer in
 * between, a request is blocked, since clients repeat it and each repetition would crash another
 * upstream. Attempts that broke at the same upstream count each: which of its requests an upstream
 * crashed under shows only by which of them come in numbers and are never answered. Gateways share
 * what they see through the leader.
 *
 * An upstream that crashes for another reason takes all copies of a popular request along, which
 * looks the same. Therefore the leader grants a few trials of a blocked request, each to one
 * gateway: an answer ends the block everywhere, and a request that does crash upstreams crashes no
 * more of them than there are trials. Pure; not thread-safe.
 */
class CrashLedger
{
public:
    /** Adds a broken attempt. Returns whether it was new. */
    bool record(const BrokenAttempt &broken, TimePoint now);

    /**
     * An upstream answered the request at @p answeredAt, so that the attempts which broke before do
     * not count. Returns whether there were any.
     */
    bool clear(RequestDigest request, TimePoint answeredAt);

    /** Adds what another host knows. */
    void merge(const std::vector<SuspectRequest> &suspects, TimePoint now);

    /** Removes entries that are out of date. */
    void expire(TimePoint now);

    /** Number of broken attempts of the request; counted up to the number that blocks it. */
    std::size_t brokenCount(RequestDigest request) const;

    /** Whether the request must not be sent to an upstream any more. */
    bool isBlocked(RequestDigest request) const;

    /** How long a request that is blocked will stay so, if no attempt breaks again. */
    Milliseconds blockedFor(RequestDigest request, TimePoint now) const;

    /**
     * How long it takes until the next trial of a blocked request may be granted; 0: it may now.
     * Nothing: no further one, or the request is not blocked.
     */
    std::optional<Milliseconds> trialDueIn(RequestDigest request, TimePoint now) const;

    /**
     * Allows @p gateway to send a blocked request to one upstream, if a trial is due or nearly so.
     * Only for the leader, so that a trial is granted once. Returns whether it was granted.
     */
    bool grantTrial(RequestDigest request, const std::string &gateway, TimePoint now);

    /** Returns the trials that were granted since the request was blocked. */
    RequestTrials trialsOf(RequestDigest request) const;

    /**
     * Returns the requests that other hosts should know, in the order of their digests: those with
     * several broken attempts, since one breaks of each request that a crashing upstream has, and
     * those that were answered lately.
     */
    std::vector<SuspectRequest> suspects(TimePoint now) const;

    /**
     * Returns the broken attempts of suspects() that a host which knows @p suspects does not know,
     * or whose trials it does not know.
     */
    std::vector<BrokenAttempt> unknownTo(const std::vector<SuspectRequest> &suspects,
                                         TimePoint now) const;

private:
    struct Entry
    {
        std::set<AttemptId> attempts; // empty: cleared
        TimePoint changedAt; // when the last attempt broke, or of the answer
        TimePoint clearedAt; // attempts that broke before do not count
        RequestTrials trials;
        TimePoint triedAt; // when the last trial was granted, or this host learned of it
    };

    void makeRoom();
    static void addTrials(Entry &entry, const RequestTrials &trials, TimePoint now);

    std::map<RequestDigest, Entry> entries;
};

} // namespace cassiaroad
