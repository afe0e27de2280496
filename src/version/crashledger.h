#pragma once

#include "process/clock.h"
#include "version/keyrange.h"

#include <map>
#include <set>
#include <vector>

namespace cassiaroad {

/** Digest of what a request asks for; requests with the same content have the same digest. */
using RequestDigest = std::uint64_t;

/** A request whose connection broke before its upstream answered: the upstream may have crashed. */
struct CrashSighting
{
    RequestDigest request = 0;
    UpstreamIncarnation upstream;
    Milliseconds age; // time since it was seen

    bool operator==(const CrashSighting &) const = default;
};

/** The upstreams that may have crashed under a request. None: an upstream has answered it since. */
struct SuspectRequest
{
    RequestDigest request = 0;
    std::vector<UpstreamIncarnation> upstreams;
    Milliseconds age; // time since the last crash or answer

    bool operator==(const SuspectRequest &) const = default;
};

/**
 * Requests under which upstreams have crashed. One that has crashed three upstreams, and that none
 * has answered in between, is blocked, since clients repeat it and each repetition would crash
 * another upstream. Gateways share what they see through the leader. Pure; not thread-safe.
 */
class CrashLedger
{
public:
    /** Adds a sighting. Returns whether it was new. */
    bool record(const CrashSighting &sighting, TimePoint now);

    /** An upstream has answered the request, so that it crashes none. Returns whether it was known.
     */
    bool clear(RequestDigest request, TimePoint now);

    /** Adds what another host knows. */
    void merge(const std::vector<SuspectRequest> &suspects, TimePoint now);

    /** Removes entries that are out of date. */
    void expire(TimePoint now);

    /** Number of upstreams that may have crashed under the request. */
    std::size_t crashCount(RequestDigest request) const;

    /** Whether the request must not be sent to an upstream any more. */
    bool isBlocked(RequestDigest request) const;

    /** How long a request that is blocked will stay so, if no upstream crashes under it again. */
    Milliseconds blockedFor(RequestDigest request, TimePoint now) const;

    /**
     * Returns the requests that other hosts should know, in the order of their digests: those with
     * more than one crash, since one crash is shared by all requests that the upstream had, and
     * those that were answered lately.
     */
    std::vector<SuspectRequest> suspects(TimePoint now) const;

    /** Returns the crashes of suspects() that a host which knows @p suspects does not know. */
    std::vector<CrashSighting> unknownTo(const std::vector<SuspectRequest> &suspects,
                                         TimePoint now) const;

private:
    struct Entry
    {
        std::set<UpstreamIncarnation> upstreams; // empty: cleared
        TimePoint changedAt;
    };

    void makeRoom();

    std::map<RequestDigest, Entry> entries;
};

} // namespace cassiaroad
