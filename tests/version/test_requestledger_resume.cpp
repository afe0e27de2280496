#include "version/requestledger.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against a key that is blocked for an hour because the reply to its begin was lost; another
// host, or another run of the same host, must still not start it (P5).
TEST(RequestLedger, givesTheTicketAgainToTheRunThatHoldsIt)
{
    RequestLedger ledger;
    const LedgerKey key { "orders", "club-7", "a" };
    const EntryHostId host { "entry-1", 1 };
    EXPECT_EQ(ledger.begin(key, 5, host, 0, 10), LedgerBeginResult(LedgerStarted { 1 }));
    EXPECT_EQ(ledger.begin(key, 5, host, 0, 10), LedgerBeginResult(LedgerStarted { 1 }));
    EXPECT_EQ(ledger.size(), 1U);
    EXPECT_EQ(ledger.begin(key, 6, host, 0, 10), LedgerBeginResult(LedgerMismatch {}));
    EXPECT_EQ(ledger.begin(key, 5, { "entry-1", 2 }, 0, 10),
              LedgerBeginResult(LedgerInProgress {}));
    EXPECT_EQ(ledger.begin(key, 5, { "entry-2", 1 }, 0, 10),
              LedgerBeginResult(LedgerInProgress {}));
    EXPECT_EQ(ledger.finish(key, 1, LedgerUnknown {}), LedgerFinishResult::Done);
    EXPECT_EQ(ledger.begin(key, 5, host, 0, 10), LedgerBeginResult(LedgerUnknown {}));
}
