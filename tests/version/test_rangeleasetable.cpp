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
