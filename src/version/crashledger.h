#pragma once

#include "process/clock.h"

#include <map>
#include <set>
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

    bool operator==(const BrokenAttempt &) const = default;
};

/** The broken attempts of a request. None: an upstream has answered it since. */
struct SuspectRequest
{
    RequestDigest request = 0;
    std::vector<AttemptId> attempts;
    Milliseconds age; // time since the last broken attempt or the answer

    bool operator==(const SuspectRequest &) const = default;
};

/**
 * Requests under which upstreams may have crashed. After three broken attempts without an answer in
 * between, a request is blocked, since clients repeat it and each repetition would crash another
 * upstream. Attempts that broke at the same upstream count each: which of its requests an upstream
 * crashed under shows only by which of them come in numbers and are never answered. Gateways share
 * what they see through the leader. Pure; not thread-safe.
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
     * Returns the requests that other hosts should know, in the order of their digests: those with
     * several broken attempts, since one breaks of each request that a crashing upstream has, and
     * those that were answered lately.
     */
    std::vector<SuspectRequest> suspects(TimePoint now) const;

    /** Returns the broken attempts of suspects() that a host which knows @p suspects does not know.
     */
    std::vector<BrokenAttempt> unknownTo(const std::vector<SuspectRequest> &suspects,
                                         TimePoint now) const;

private:
    struct Entry
    {
        std::set<AttemptId> attempts; // empty: cleared
        TimePoint changedAt; // when the last attempt broke, or of the answer
        TimePoint clearedAt; // attempts that broke before do not count
    };

    void makeRoom();

    std::map<RequestDigest, Entry> entries;
};

} // namespace cassiaroad
