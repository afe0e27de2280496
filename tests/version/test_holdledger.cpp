#include "version/holdledger.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const HoldTimes times { { 4000 }, { 4330 } };
const UpstreamIncarnation first { "i-1", 100 };
const RangeOwner entry { { 0, 99 }, first, 7, {} };
const RangeLease granted { { 0, 99 }, 7, {} };
const std::string service = "ledger";

TimePoint at(std::int64_t milliseconds)
{
    return { 1000000 + milliseconds };
}

} // namespace

// Guards against giving a key away while a grant of an earlier leader may be in force.
TEST(HoldLedger, waitsForHoldsOfEarlierTerms)
{
    HoldLedger ledger(times);
    ledger.startTerm(at(0));
    ledger.setFenceAtStart(service, 7);
    EXPECT_FALSE(ledger.isReleased(service, entry, entry.range, at(4329)));
    EXPECT_TRUE(ledger.isReleased(service, entry, entry.range, at(4330)));
}

// Guards against a key without an owner while nobody can hold it.
TEST(HoldLedger, freesARangeThatWasNeverGranted)
{
    HoldLedger ledger(times);
    ledger.startTerm(at(0));
    ledger.setFenceAtStart(service, 6);
    EXPECT_TRUE(ledger.isReleased(service, entry, entry.range, at(1)));
}

// Guards against giving a key away before the last hold has run out.
TEST(HoldLedger, waitsForTheLastGrant)
{
    HoldLedger ledger(times);
    ledger.startTerm(at(0));
    ledger.setFenceAtStart(service, 6);
    ledger.noteReport(first, 1, {});
    ledger.recordResponse(first, 1, { granted }, at(10));
    EXPECT_FALSE(ledger.isReleased(service, entry, entry.range, at(4339)));
    EXPECT_TRUE(ledger.isReleased(service, entry, entry.range, at(4340)));
}

// Guards against taking a heartbeat that was sent before the owner knew of the grant for a release.
TEST(HoldLedger, needsAReportAfterAnAnswerWithoutTheRange)
{
    HoldLedger ledger(times);
    ledger.startTerm(at(0));
    ledger.setFenceAtStart(service, 6);
    ledger.noteReport(first, 1, {});
    ledger.recordResponse(first, 1, { granted }, at(10));
    ledger.noteReport(first, 2, {});
    EXPECT_FALSE(ledger.isReleased(service, entry, entry.range, at(20)));
    ledger.recordResponse(first, 2, {}, at(20));
    EXPECT_FALSE(ledger.isReleased(service, entry, entry.range, at(30)));
    ledger.noteReport(first, 3, { granted });
    EXPECT_FALSE(ledger.isReleased(service, entry, entry.range, at(40)));
    ledger.recordResponse(first, 3, {}, at(40));
    ledger.noteReport(first, 4, {});
    EXPECT_TRUE(ledger.isReleased(service, entry, entry.range, at(50)));
}

// Guards against waiting for a whole range when only a part of it moves.
TEST(HoldLedger, releasesAPartOfARange)
{
    HoldLedger ledger(times);
    ledger.startTerm(at(0));
    ledger.setFenceAtStart(service, 6);
    ledger.noteReport(first, 1, {});
    ledger.recordResponse(first, 1, { { { 0, 49 }, 7, {} } }, at(10));
    ledger.noteReport(first, 2, { { { 0, 49 }, 7, {} } });
    EXPECT_TRUE(ledger.isReleased(service, entry, { 50, 99 }, at(20)));
    EXPECT_FALSE(ledger.isReleased(service, entry, { 0, 49 }, at(20)));
}
