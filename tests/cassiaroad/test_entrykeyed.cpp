#include "entrysite.h"

using namespace cassiaroad;

namespace {

const std::string keyHeader = "idempotency-key: order-1\r\n";

/** An EntrySite that gets requests with an Idempotency-Key. */
class EntryKeyed : public EntrySite
{
protected:
    /** Adds an owner that counts the runs of "/orders/k". */
    FakePeer &addCountingOwner(const std::string &body)
    {
        return this->addOwner("o1", [this, body](FakePeer::Connection &connection) {
            const std::size_t before = connection.received.size();
            respondWith(body)(connection);
            this->runs += connection.received.size() < before ? 1 : 0;
        });
    }

    CallerResponse post(const std::string &body = "order", const std::string &extra = "")
    {
        return this->exchange("POST", "/orders/k", keyHeader + extra, body);
    }

    int runs = 0;
};

} // namespace

TEST_F(EntryKeyed, P5_replaysTheStoredResponse)
{
    this->addCountingOwner("made");
    this->start();
    const CallerResponse first = this->post();
    EXPECT_EQ(first.body, "made");
    EXPECT_EQ(first.head.find("cassiaroad-replayed"), std::string::npos);
    const CallerResponse again = this->post();
    EXPECT_EQ(again.body, "made");
    EXPECT_EQ(again.outcome, "answered");
    EXPECT_NE(again.head.find("cassiaroad-replayed: true"), std::string::npos);
    EXPECT_EQ(this->post("another order").status, 422);
    EXPECT_EQ(this->runs, 1);
    EXPECT_EQ(this->exchange("GET", "/orders/k", keyHeader).body, "made") << "GET needs no ledger";
    EXPECT_EQ(this->group.begins, 3);
}

TEST_F(EntryKeyed, P5_doesNotRunAgainAfterAnUnknownOutcome)
{
    FakePeer &owner = this->addOwner(
            "o1", [](FakePeer::Connection &connection) { connection.disconnect(); });
    this->start();
    EXPECT_EQ(this->post().outcome, "unknown");
    EXPECT_EQ(this->post().outcome, "unknown");
    EXPECT_EQ(owner.connections.size(), 1U);
}

TEST_F(EntryKeyed, P5_runsARequestThatWasRefusedBefore)
{
    this->addUnreachableOwner("gone");
    this->start();
    EXPECT_EQ(this->post().outcome, "not-run");
    EXPECT_EQ(this->group.ledger.size(), 0U);
    this->addCountingOwner("made");
    ASSERT_TRUE(this->receivesTable());
    EXPECT_EQ(this->post().body, "made");
    EXPECT_EQ(this->runs, 1);
}

TEST_F(EntryKeyed, P5_waitsForTheSameRequestInFlight)
{
    FakePeer &owner = this->addOwner("o1", [](FakePeer::Connection &) {});
    this->start();
    const auto first = this->send("POST", "/orders/k", keyHeader, "order");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return owner.connections.size() == 1; }));
    const CallerResponse conflict = this->post("order", "cassiaroad-deadline-ms: 200\r\n");
    EXPECT_EQ(conflict.status, 409);
    EXPECT_NE(conflict.outcome, "not-run") << "the first may still run";
    EXPECT_NE(conflict.head.find("retry-after: "), std::string::npos);
    const auto second = this->send("POST", "/orders/k", keyHeader, "order");
    runFor(this->loop, { 50 });
    owner.connections[0]->write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmade");
    EXPECT_EQ(this->responseOf(*first).body, "made");
    const CallerResponse replayed = this->responseOf(*second);
    EXPECT_EQ(replayed.body, "made");
    EXPECT_NE(replayed.head.find("cassiaroad-replayed: true"), std::string::npos);
    EXPECT_EQ(owner.connections.size(), 1U);
}

// Guards against a run that another entry host could repeat because the ledger does not know it.
TEST_F(EntryKeyed, P5_sendsNothingWithoutTheLedger)
{
    FakePeer &owner = this->addCountingOwner("made");
    this->start();
    this->group.repliesToLedgerCalls = false;
    const CallerResponse refused = this->post("order", "cassiaroad-deadline-ms: 300\r\n");
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.outcome, "not-run");
    EXPECT_TRUE(owner.connections.empty());
}

TEST_F(EntryKeyed, P5_returnsNoResponseThatIsNotCommitted)
{
    FakePeer &owner = this->addOwner("o1", [](FakePeer::Connection &) {});
    this->start();
    const auto client = this->send("POST", "/orders/k",
                                   keyHeader + "cassiaroad-deadline-ms: 600\r\n", "order");
    ASSERT_TRUE(waitUntil(this->loop, [&] {
        return owner.connections.size() == 1 && owner.connections[0]->received.ends_with("order");
    }));
    this->group.repliesToLedgerCalls = false;
    owner.connections[0]->write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmade");
    EXPECT_EQ(this->responseOf(*client).outcome, "unknown");
    // The entry host still commits the response, so that a repeated request gets it.
    this->group.repliesToLedgerCalls = true;
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->group.finishes > 0; }));
    EXPECT_EQ(this->post().body, "made");
}

// Guards against a second run of a request whose begin may have been executed.
TEST_F(EntryKeyed, P5_runsAtMostOnceWhenTheReplyOfBeginIsLost)
{
    this->addCountingOwner("made");
    this->start();
    this->group.dropsNextBeginReply = true;
    const CallerResponse first = this->post();
    EXPECT_NE(first.outcome, "not-run") << "the key is blocked";
    const CallerResponse second = this->post();
    EXPECT_NE(second.outcome, "not-run") << "the key is blocked";
    EXPECT_LE(this->runs, 1);
}

// Guards against a key that stays blocked because the reply to its begin was lost.
TEST_F(EntryKeyed, P5_runsOnceWhenTheReplyOfBeginIsLost)
{
    this->addCountingOwner("made");
    this->start();
    this->group.dropsNextBeginReply = true;
    EXPECT_EQ(this->post().body, "made");
    EXPECT_EQ(this->post().body, "made");
    EXPECT_EQ(this->runs, 1);
}

TEST_F(EntryKeyed, storesLongResponsesWithoutBody)
{
    this->addCountingOwner(std::string(9000, 'x'));
    this->start();
    EXPECT_EQ(this->post().body.size(), 9000U);
    const CallerResponse again = this->post();
    EXPECT_EQ(again.status, 200);
    EXPECT_EQ(again.body, "");
    EXPECT_NE(again.head.find("cassiaroad-answer-truncated: true"), std::string::npos);
    EXPECT_EQ(this->runs, 1);
}

TEST_F(EntryKeyed, recordsUnknownIfTheCallerDisconnects)
{
    FakePeer &owner = this->addOwner("o1", [](FakePeer::Connection &) {});
    this->start();
    auto client = this->send("POST", "/orders/k", keyHeader, "order");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return owner.connections.size() == 1; }));
    client.reset();
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->group.finishes == 1; }));
    EXPECT_EQ(this->post().outcome, "unknown");
    EXPECT_EQ(owner.connections.size(), 1U);
}
