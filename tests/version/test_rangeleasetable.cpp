#include "version/rangeleasetable.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const LeaseTiming timing { { 4000 }, { 4330 } };
const UpstreamIncarnation owner { "i-1", 100 };
const RangeOwner entry { { 0, 99 }, owner, 7, {} };
const RangeLease lease { { 0, 99 }, 7, {} };
const std::string service = "ledger";

TimePoint at(std::int64_t milliseconds)
{
    return { 1000000 + milliseconds };
}

} // namespace

// Guards against a transfer of a range while a lease of an earlier leader may still be valid.
TEST(RangeLeaseTable, waitsForLeasesOfEarlierTerms)
{
    RangeLeaseTable rangeLeases(timing);
    rangeLeases.startTerm(at(0));
    rangeLeases.setFenceAtStart(service, 7);
    EXPECT_FALSE(rangeLeases.isReleased(service, entry, entry.range, at(4329)));
    EXPECT_TRUE(rangeLeases.isReleased(service, entry, entry.range, at(4330)));
}

// Guards against keys that wait for a new owner although no upstream can have a lease on them.
TEST(RangeLeaseTable, releasesARangeThatWasNeverLeased)
{
    RangeLeaseTable rangeLeases(timing);
    rangeLeases.startTerm(at(0));
    rangeLeases.setFenceAtStart(service, 6);
    EXPECT_TRUE(rangeLeases.isReleased(service, entry, entry.range, at(1)));
}

// Guards against a transfer of a range before the last lease on it has expired.
TEST(RangeLeaseTable, waitsForTheEndOfTheLastLease)
{
    RangeLeaseTable rangeLeases(timing);
    rangeLeases.startTerm(at(0));
    rangeLeases.setFenceAtStart(service, 6);
    rangeLeases.recordReport(owner, 1, {});
    rangeLeases.recordResponse(owner, 1, { lease }, at(10));
    EXPECT_FALSE(rangeLeases.isReleased(service, entry, entry.range, at(4339)));
    EXPECT_TRUE(rangeLeases.isReleased(service, entry, entry.range, at(4340)));
}

// Guards against taking a heartbeat for a release that the owner sent before it had received the
// lease.
TEST(RangeLeaseTable, needsAHeartbeatAfterAResponseWithoutTheRange)
{
    RangeLeaseTable rangeLeases(timing);
    rangeLeases.startTerm(at(0));
    rangeLeases.setFenceAtStart(service, 6);
    rangeLeases.recordReport(owner, 1, {});
    rangeLeases.recordResponse(owner, 1, { lease }, at(10));
    rangeLeases.recordReport(owner, 2, {});
    EXPECT_FALSE(rangeLeases.isReleased(service, entry, entry.range, at(20)));
    rangeLeases.recordResponse(owner, 2, {}, at(20));
    EXPECT_FALSE(rangeLeases.isReleased(service, entry, entry.range, at(30)));
    rangeLeases.recordReport(owner, 3, { lease });
    EXPECT_FALSE(rangeLeases.isReleased(service, entry, entry.range, at(40)));
    rangeLeases.recordResponse(owner, 3, {}, at(40));
    rangeLeases.recordReport(owner, 4, {});
    EXPECT_TRUE(rangeLeases.isReleased(service, entry, entry.range, at(50)));
}

// Guards against waiting for the release of a complete range when only a part of it moves.
TEST(RangeLeaseTable, releasesAPartOfARange)
{
    RangeLeaseTable rangeLeases(timing);
    rangeLeases.startTerm(at(0));
    rangeLeases.setFenceAtStart(service, 6);
    rangeLeases.recordReport(owner, 1, {});
    rangeLeases.recordResponse(owner, 1, { { { 0, 49 }, 7, {} } }, at(10));
    rangeLeases.recordReport(owner, 2, { { { 0, 49 }, 7, {} } });
    EXPECT_TRUE(rangeLeases.isReleased(service, entry, { 50, 99 }, at(20)));
    EXPECT_FALSE(rangeLeases.isReleased(service, entry, { 0, 49 }, at(20)));
}

// Guards against a second owner while a grant without an answer may still be applied, seconds
// later and after the release of the range.
TEST(RangeLeaseTable, waitsForGrantsWithoutAnAnswer)
{
    RangeLeaseTable rangeLeases(timing);
    rangeLeases.startTerm(at(0));
    rangeLeases.setFenceAtStart(service, 6, LeaseDelivery::Call);
    rangeLeases.recordGrantSent(owner, 1, lease, at(0));
    rangeLeases.recordGrantSent(owner, 2, lease, at(250));
    rangeLeases.recordGrantAccepted(owner, 2, at(260));
    rangeLeases.recordReleased(owner, lease.range, lease.fence);
    // The first call may arrive until 600 ms; its lease counts from then on.
    EXPECT_FALSE(rangeLeases.isReleased(service, entry, entry.range, at(4929)));
    EXPECT_TRUE(rangeLeases.isReleased(service, entry, entry.range, at(4930)));
}

// Guards against a key without an owner for the duration of a lease although its owner has released
// it.
TEST(RangeLeaseTable, believesAReleaseAfterWhichNoGrantIsOpen)
{
    RangeLeaseTable rangeLeases(timing);
    rangeLeases.startTerm(at(0));
    rangeLeases.setFenceAtStart(service, 6, LeaseDelivery::Call);
    rangeLeases.recordGrantSent(owner, 1, lease, at(0));
    EXPECT_TRUE(rangeLeases.recordGrantAccepted(owner, 1, at(5)));
    EXPECT_TRUE(rangeLeases.isGranted(entry));
    rangeLeases.recordReleased(owner, { 50, 99 }, lease.fence);
    EXPECT_TRUE(rangeLeases.isReleased(service, entry, { 50, 99 }, at(10)));
    EXPECT_FALSE(rangeLeases.isReleased(service, entry, { 0, 49 }, at(10)));
    EXPECT_FALSE(rangeLeases.isReleased(service, entry, { 0, 99 }, at(10)));
}

// Guards against a range that stays with its owner's last lease although the grant never arrived.
TEST(RangeLeaseTable, countsNoGrantThatHasNotArrived)
{
    RangeLeaseTable rangeLeases(timing);
    rangeLeases.startTerm(at(0));
    rangeLeases.setFenceAtStart(service, 6, LeaseDelivery::Call);
    rangeLeases.recordGrantSent(owner, 1, lease, at(0));
    EXPECT_FALSE(rangeLeases.isReleased(service, entry, entry.range, at(1)));
    rangeLeases.recordGrantWithoutEffect(owner, 1);
    EXPECT_TRUE(rangeLeases.isReleased(service, entry, entry.range, at(1)));
    EXPECT_FALSE(rangeLeases.isGranted(entry));
}

// Guards against a new leader that believes a release while a grant of its predecessor, of which it
// knows nothing, may still be applied.
TEST(RangeLeaseTable, waitsForCallsOfEarlierLeadersInSpiteOfARelease)
{
    RangeLeaseTable rangeLeases(timing);
    rangeLeases.startTerm(at(0));
    rangeLeases.setFenceAtStart(service, 7, LeaseDelivery::Call);
    rangeLeases.recordReleased(owner, lease.range, lease.fence);
    EXPECT_FALSE(rangeLeases.canConfirmRelease(service, entry, at(4929)));
    EXPECT_FALSE(rangeLeases.isReleased(service, entry, entry.range, at(4929)));
    EXPECT_TRUE(rangeLeases.canConfirmRelease(service, entry, at(4930)));
    EXPECT_TRUE(rangeLeases.isReleased(service, entry, entry.range, at(4930)));
}
