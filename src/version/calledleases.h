#pragma once

#include "version/keyrange.h"

#include "process/clock.h"

#include <vector>

namespace cassiaroad {

/**
 * Leases of one upstream that the leader grants by calls, as far as the leader knows. A call
 * without a response may be applied seconds later, even after newer ones, so it counts as a lease
 * until the latest moment at which that lease can end. Pure; not thread-safe.
 */
class CalledLeases
{
public:
    /** Records call @p number, whose lease ends at @p until at the latest. */
    void recordSent(std::uint64_t number, const KeyRange &range, FencingToken fence,
                    TimePoint until);

    /**
     * Records that call @p number was accepted; its lease ends at @p until at the latest. Returns
     * whether no call with this fencing token was accepted before.
     */
    bool recordAccepted(std::uint64_t number, TimePoint until);

    /** Records that call @p number did not arrive, or was refused. */
    void recordWithoutEffect(std::uint64_t number);

    /**
     * Records that the upstream has released @p range of the lease with @p fence. Precondition: no
     * call whose lease overlaps the range was open when the release was sent.
     */
    void recordReleased(const KeyRange &range, FencingToken fence);

    /** Whether the upstream may have a valid lease on a key of @p range. */
    bool mayHold(const KeyRange &range, TimePoint now) const;

    /** Whether a call with @p fence was accepted. */
    bool isGranted(FencingToken fence) const;

    /** Forgets leases that have ended. */
    void expire(TimePoint now);

private:
    /** A lease that one call, or several equal ones, have granted or may grant. */
    struct Entry
    {
        KeyRange range;
        FencingToken fence = 0;
        TimePoint until;
        std::uint64_t call = 0; // without a response; 0: accepted
    };

    std::vector<Entry> entries;
    std::vector<FencingToken> granted; // ascending; tokens of accepted calls
};

} // namespace cassiaroad
