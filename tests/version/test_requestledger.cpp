#include "version/requestledger.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const LedgerKey key { "orders", "k", "once" };
const EntryHostId host { "e1", 1 };
constexpr GroupTime hour = 3600 * 1000;
constexpr Milliseconds retention { 24 * hour };

std::uint64_t start(RequestLedger &ledger, GroupTime now = 0)
{
    return std::get<LedgerStarted>(ledger.begin(key, 7, host, now, 10)).ticket;
}

} // namespace

// Guards P5: a request that was started is not started again, whatever its outcome.
TEST(RequestLedger, startsARequestOnce)
{
    RequestLedger ledger;
    const std::uint64_t ticket = start(ledger);
    EXPECT_EQ(ledger.begin(key, 7, { "e2", 2 }, 0, 10), LedgerBeginResult(LedgerInProgress {}));
    EXPECT_EQ(ledger.begin(key, 8, host, 0, 10), LedgerBeginResult(LedgerMismatch {}));
    const StoredAnswer answer { 201, "text/plain", "done", false };
    EXPECT_EQ(ledger.finish(key, ticket, answer), LedgerFinishResult::Done);
    EXPECT_EQ(ledger.begin(key, 7, host, 0, 10), LedgerBeginResult(answer));
    EXPECT_EQ(ledger.finish(key, ticket, LedgerNotRun {}), LedgerFinishResult::Superseded);
    EXPECT_EQ(ledger.begin(key, 7, host, 0, 10), LedgerBeginResult(answer));
}

// Guards against running a request of an unavailable entry host again, by that host or another one.
TEST(RequestLedger, resolvesRequestsOfAnUnavailableHostToUnknown)
{
    RequestLedger ledger;
    const std::uint64_t ticket = start(ledger);
    EXPECT_EQ(ledger.abandon({ "e1", 2 }), 0U); // a later start of the host
    EXPECT_EQ(ledger.abandon(host), 1U);
    EXPECT_EQ(ledger.begin(key, 7, host, 0, 10), LedgerBeginResult(LedgerUnknown {}));
    EXPECT_EQ(ledger.finish(key, ticket, LedgerNotRun {}), LedgerFinishResult::Superseded);
    EXPECT_EQ(ledger.begin(key, 7, host, 0, 10), LedgerBeginResult(LedgerUnknown {}));
    EXPECT_TRUE(ledger.hostsInFlight().empty());
}

// Guards against recording a late outcome of a former run of the same request.
TEST(RequestLedger, runsAgainOnlyAfterNotRun)
{
    RequestLedger ledger;
    const std::uint64_t first = start(ledger);
    EXPECT_EQ(ledger.finish(key, first, LedgerNotRun {}), LedgerFinishResult::Done);
    const std::uint64_t second = start(ledger);
    EXPECT_NE(first, second);
    EXPECT_EQ(ledger.finish(key, first, StoredAnswer {}), LedgerFinishResult::Superseded);
    EXPECT_EQ(ledger.finish(key, second, LedgerUnknown {}), LedgerFinishResult::Done);
}

// Guards against a key that stays blocked after a lost reply, and against returning the ticket of
// the first run to a second run of the same entry host (P5).
TEST(RequestLedger, givesTheTicketAgainOnlyToTheSameRun)
{
    RequestLedger ledger;
    const auto first = ledger.begin(key, 7, host, 0, 10, 1);
    EXPECT_EQ(ledger.begin(key, 7, host, 0, 10, 1), first);
    EXPECT_EQ(ledger.begin(key, 7, host, 0, 10, 2), LedgerBeginResult(LedgerInProgress {}));
    EXPECT_EQ(ledger.begin(key, 7, { "e2", 2 }, 0, 10, 1), LedgerBeginResult(LedgerInProgress {}));
    ledger.finish(key, std::get<LedgerStarted>(first).ticket, LedgerUnknown {});
    EXPECT_EQ(ledger.begin(key, 7, host, 0, 10, 1), LedgerBeginResult(LedgerUnknown {}));
}

// Guards the upper bound of records: a full ledger refuses new requests until records are old
// enough to be removed.
TEST(RequestLedger, refusesWhenFullAndExpiresOldRecords)
{
    RequestLedger ledger;
    const std::uint64_t ticket = start(ledger);
    const LedgerKey other { "orders", "k", "other" };
    EXPECT_EQ(ledger.begin(other, 7, host, 0, 1), LedgerBeginResult(LedgerFull {}));
    EXPECT_EQ(ledger.expire(hour - 1, retention), 0U);
    EXPECT_EQ(ledger.expire(hour, retention), 1U); // in flight for an hour: the outcome is unknown
    EXPECT_EQ(ledger.begin(key, 7, host, hour, 1), LedgerBeginResult(LedgerUnknown {}));
    EXPECT_EQ(ledger.finish(key, ticket, LedgerNotRun {}), LedgerFinishResult::Superseded);
    EXPECT_EQ(ledger.expire(24 * hour, retention), 1U);
    EXPECT_EQ(ledger.size(), 0U);
}
