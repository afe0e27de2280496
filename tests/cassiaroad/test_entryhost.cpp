#include "entrysite.h"

#include <fstream>
#include <nlohmann/json.hpp>

using namespace cassiaroad;

TEST_F(EntrySite, routesToTheOwnerWithGrantKeyAndTrace)
{
    std::string seen;
    this->addOwner(
            "o1",
            [&](FakePeer::Connection &connection) {
                seen = connection.received;
                respondWith("proof")(connection);
            },
            4);
    this->start();
    const CallerResponse response = this->exchange(
            "GET", "/orders/club-7/proof?page=2",
            "cassiaroad-grant: shard/1/99\r\nconnection: x-drop\r\nx-drop: 1\r\nx-keep: 2\r\n"
            "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n");
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.outcome, "answered");
    EXPECT_EQ(response.body, "proof");
    const std::uint32_t shard = shardOfKey("club-7", testShards);
    EXPECT_TRUE(seen.starts_with("GET /orders/club-7/proof?page=2 HTTP/1.1\r\n"));
    EXPECT_NE(seen.find("cassiaroad-grant: shard/" + std::to_string(shard) + "/4\r\n"),
              std::string::npos);
    EXPECT_NE(seen.find("cassiaroad-key: club-7\r\n"), std::string::npos);
    EXPECT_NE(seen.find("cassiaroad-deadline-ms: "), std::string::npos);
    EXPECT_NE(seen.find("traceparent: 00-0af7651916cd43dd8448eb211c80319c-"), std::string::npos);
    EXPECT_EQ(seen.find("b7ad6b7169203331"), std::string::npos);
    EXPECT_NE(seen.find("x-keep: 2\r\n"), std::string::npos);
    EXPECT_EQ(seen.find("x-drop"), std::string::npos);
    EXPECT_EQ(seen.find("/99"), std::string::npos);
}

TEST_F(EntrySite, refusesBadPathsAsNotRun)
{
    this->addOwner("o1", respondWith("x"));
    this->start();
    for (const std::string path :
         { "/", "/orders", "/orders/", "/orders/a%20b", "/orders/../x", "/orders/?k" }) {
        const CallerResponse response = this->exchange("GET", path);
        EXPECT_EQ(response.status, 400) << path;
        EXPECT_EQ(response.outcome, "not-run") << path;
    }
    EXPECT_EQ(this->exchange("GET", "/maps/k").status, 404);
    EXPECT_EQ(this->exchange("GET", "/orders/k", "cassiaroad-deadline-ms: soon\r\n").status, 400);
    EXPECT_TRUE(this->peers[0]->connections.empty());
}

// Guards against routing by an outdated table: transfers of ownership do not wait for an entry host
// whose lease has expired (section 4).
TEST_F(EntrySite, routesNothingWithoutALease)
{
    this->addOwner("o1", respondWith("x"));
    this->group.lease = { 300 };
    this->start();
    EXPECT_NE(this->get(this->host->adminPort(), "/healthz").find(" 200 "), std::string::npos);
    this->group.repliesToWatch = false;
    ASSERT_TRUE(this->becomesUnhealthy());
    const auto waitingForOwner = this->send("POST", "/orders/k", "", "order");
    const CallerResponse refused = this->responseOf(*waitingForOwner);
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.outcome, "not-run");
    EXPECT_TRUE(this->peers[0]->connections.empty());

    const auto waiting = this->send("POST", "/orders/k", "", "order");
    runFor(this->loop, { 50 });
    this->group.repliesToWatch = true;
    EXPECT_EQ(this->responseOf(*waiting).body, "x");
}

// Guards against new requests to an owner that releases its keys (P6), and against aborting its
// requests in flight (P7).
TEST_F(EntrySite, P6P7_plannedMoveDelaysNewRequestsAndFinishesThoseInFlight)
{
    FakePeer &previousOwner = this->addOwner("o1", [](FakePeer::Connection &) {});
    this->start();
    const auto running = this->send("POST", "/orders/k", "", "order");
    ASSERT_TRUE(waitUntil(this->loop, [&] {
        return previousOwner.connections.size() == 1
               && previousOwner.connections[0]->received.ends_with("order");
    }));
    const Revision before = this->group.table.toRevision;
    this->group.setRoutes("orders", testShards,
                          { RouteState::Releasing, "o1", 1, MoveReason::Planned });
    ASSERT_TRUE(this->receivesTable());
    const auto waitingForOwner = this->send("GET", "/orders/k2");
    runFor(this->loop, { 100 });
    EXPECT_EQ(this->group.drained, before) << "a request of the old owner is in flight";
    EXPECT_EQ(previousOwner.connections.size(), 1U) << "the releasing owner got new work";

    previousOwner.connections[0]->write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone");
    EXPECT_EQ(this->responseOf(*running).body, "done");
    EXPECT_TRUE(waitUntil(this->loop, [&] { return this->group.drained == before + 1; }));
    this->addOwner("o2", respondWith("from o2"), 2);
    EXPECT_EQ(this->responseOf(*waitingForOwner).body, "from o2");
}

// Guards against callers that wait for a response of a lost owner (section 4).
TEST_F(EntrySite, abortsRequestsOfALostOwner)
{
    FakePeer &previousOwner = this->addOwner("o1", [](FakePeer::Connection &) {});
    this->start();
    const auto post = this->send("POST", "/orders/k", "", "order");
    const auto get = this->send("GET", "/orders/k");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return previousOwner.connections.size() == 2; }));
    runFor(this->loop, { 20 });
    this->group.setRoutes("orders", testShards,
                          { RouteState::Releasing, "o1", 1, MoveReason::Loss });
    const CallerResponse unknown = this->responseOf(*post);
    EXPECT_EQ(unknown.status, 502);
    EXPECT_EQ(unknown.outcome, "unknown");
    EXPECT_TRUE(waitUntil(this->loop,
                          [&] { return this->group.drained == this->group.table.toRevision; }));
    this->addOwner("o2", respondWith("from o2"), 2);
    EXPECT_EQ(this->responseOf(*get).body, "from o2");
    EXPECT_EQ(previousOwner.connections.size(), 2U);
}

// Guards against a request that is reported as not-run after a byte of it was written (P4).
TEST_F(EntrySite, P4_reportsUnknownOnceBytesWereWritten)
{
    FakePeer &owner = this->addOwner("o1", [](FakePeer::Connection &connection) {
        if (connection.received.ends_with("lost")) {
            connection.disconnect();
        }
    });
    this->start();
    const CallerResponse lost = this->exchange("POST", "/orders/k", "", "lost");
    EXPECT_EQ(lost.status, 502);
    EXPECT_EQ(lost.outcome, "unknown");
    const CallerResponse late
            = this->exchange("POST", "/orders/k", "cassiaroad-deadline-ms: 200\r\n", "slow");
    EXPECT_EQ(late.status, 504);
    EXPECT_EQ(late.outcome, "unknown");
    EXPECT_EQ(owner.connections.size(), 2U) << "a request with unknown outcome was sent again";
}

// Guards against a request that is reported with an unknown outcome although no connection to its
// upstream opened (P4).
TEST_F(EntrySite, P4_reportsNotRunOnlyForRequestsThatWereNotSent)
{
    this->addUnreachableOwner("o1");
    this->start();
    const CallerResponse refused = this->exchange("POST", "/orders/k", "", "order");
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.outcome, "not-run");
    EXPECT_TRUE(waitUntil(this->loop, [&] { return this->group.failures > 0; }));
}

// Guards against a request that is reported as not-run although the upstream runs it (P4).
TEST_F(EntrySite, P4_resendsRefusedRequestsUntilTheOwnerHasItsGrant)
{
    int attempts = 0;
    this->addOwner("o1", [&](FakePeer::Connection &connection) {
        if (!connection.received.ends_with("order")) {
            return;
        }
        if (++attempts < 4) {
            connection.received.clear();
            connection.write("HTTP/1.1 409 Conflict\r\ncassiaroad-outcome: not-run\r\n"
                             "content-length: 0\r\n\r\n");
        } else {
            respondWith("done")(connection);
        }
    });
    this->start();
    EXPECT_EQ(this->exchange("POST", "/orders/k", "", "order").body, "done");
    attempts = -100000;
    const CallerResponse refused = this->exchange("POST", "/orders/k", "", "order");
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.outcome, "not-run");
}

// Guards against a response that is delivered to a different request (P3).
TEST_F(EntrySite, P3_lateResponsesAreDropped)
{
    FakePeer &owner = this->addOwner("o1", [](FakePeer::Connection &connection) {
        if (connection.received.find("/orders/fast") != std::string::npos) {
            respondWith("fast answer")(connection);
        }
    });
    this->start();
    const CallerResponse late
            = this->exchange("GET", "/orders/slow", "cassiaroad-deadline-ms: 100\r\n");
    EXPECT_EQ(late.status, 504);
    owner.connections[0]->write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate");
    EXPECT_EQ(this->exchange("GET", "/orders/fast").body, "fast answer");
}

TEST_F(EntrySite, P3_duplicateResponsesReachNoOtherRequest)
{
    this->addOwner("o1", [](FakePeer::Connection &connection) {
        const bool first = connection.received.find("/orders/a ") != std::string::npos;
        respondWith(first ? "answer a" : "answer b")(connection);
        if (first) {
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nanswer a");
        }
    });
    this->start();
    for (int round = 0; round < 10; ++round) {
        EXPECT_EQ(this->exchange("GET", "/orders/a").body, "answer a");
        EXPECT_EQ(this->exchange("GET", "/orders/b").body, "answer b");
    }
}

TEST_F(EntrySite, P3_reorderedResponsesReachTheirOwnCallers)
{
    FakePeer &owner = this->addOwner("o1", [](FakePeer::Connection &) {});
    this->start();
    const auto first = this->send("GET", "/orders/a");
    const auto second = this->send("GET", "/orders/b");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return owner.connections.size() == 2; }));
    runFor(this->loop, { 20 });
    for (const std::string key : { "b", "a" }) {
        for (const auto &connection : owner.connections) {
            if (connection->received.find("/orders/" + key + " ") != std::string::npos) {
                connection->write("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n" + key);
            }
        }
    }
    EXPECT_EQ(this->responseOf(*first).body, "a");
    EXPECT_EQ(this->responseOf(*second).body, "b");
}

TEST_F(EntrySite, P3_truncatedResponsesAreNotPassedOn)
{
    int attempts = 0;
    this->addOwner("o1", [&](FakePeer::Connection &connection) {
        if (++attempts % 2 == 1) {
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
            connection.disconnect();
        } else {
            respondWith("whole")(connection);
        }
    });
    this->start();
    EXPECT_EQ(this->exchange("GET", "/orders/k").body, "whole") << "idempotent: sent again";
    const CallerResponse truncated = this->exchange("POST", "/orders/k", "", "order");
    EXPECT_EQ(truncated.outcome, "unknown");
    EXPECT_EQ(truncated.body.find("half"), std::string::npos);
}

// Guards against an upstream that sets headers which only entry hosts may set.
TEST_F(EntrySite, dropsOutcomeHeadersOfUpstreams)
{
    this->addOwner("o1", [](FakePeer::Connection &connection) {
        connection.write("HTTP/1.1 200 OK\r\ncassiaroad-outcome: unknown\r\n"
                         "cassiaroad-replayed: true\r\ncontent-length: 2\r\n\r\nhi");
    });
    this->start();
    const CallerResponse response = this->exchange("GET", "/orders/k");
    EXPECT_EQ(response.outcome, "answered");
    EXPECT_EQ(response.head.find("replayed"), std::string::npos);
}

TEST_F(EntrySite, cancelsTheUpstreamRequestWhenTheCallerDisconnects)
{
    FakePeer &owner = this->addOwner("o1", [](FakePeer::Connection &) {});
    this->start();
    auto client = this->send("GET", "/orders/k");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return owner.connections.size() == 1; }));
    client.reset();
    EXPECT_TRUE(waitUntil(this->loop, [&] { return owner.connections[0]->closedByClient; }));
}

// Guards against bulk requests that delay critical ones under overload (section 6.3).
TEST_F(EntrySite, overloadServesCriticalBeforeBulk)
{
    std::vector<std::string> order;
    std::vector<FakePeer::Connection *> waiting;
    this->slots = 1;
    this->settings.limits.queueLength = 4;
    this->addOwner("o1", [&](FakePeer::Connection &connection) {
        if (connection.received.find("\r\n\r\n") != std::string::npos) {
            order.push_back(connection.received.substr(0, 4));
            waiting.push_back(&connection);
        }
    });
    this->start();
    std::vector<std::unique_ptr<RawClient>> bulk;
    for (int i = 0; i < 5; ++i) {
        bulk.push_back(this->send("GET", "/orders/k"));
        runFor(this->loop, { 5 });
    }
    const auto critical = this->send("POST", "/orders/k", "", "");
    const CallerResponse displaced = this->responseOf(*bulk[4]);
    EXPECT_EQ(displaced.status, 503);
    EXPECT_EQ(displaced.outcome, "not-run");
    ASSERT_EQ(waiting.size(), 1U);
    respondWith("first")(*waiting[0]);
    EXPECT_TRUE(waitUntil(this->loop, [&] { return order.size() >= 2; }));
    EXPECT_EQ(order[1], "POST");
}

TEST_F(EntrySite, P7_shutdownFinishesAllRequests)
{
    FakePeer &owner = this->addOwner("o1", [](FakePeer::Connection &) {});
    this->start();
    const auto running = this->send("POST", "/orders/k", "", "order");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return owner.connections.size() == 1; }));
    bool stopped = false;
    this->host->stop([&] { stopped = true; });
    EXPECT_NE(this->get(this->host->adminPort(), "/healthz").find(" 503 "), std::string::npos);
    const auto late = this->send("POST", "/orders/k2", "", "late order");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return owner.connections.size() == 2; }));
    runFor(this->loop, { 300 });
    EXPECT_FALSE(stopped);
    EXPECT_FALSE(RawClient(this->host->callersPort()).connected);
    for (const auto &connection : owner.connections) {
        connection->write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone");
    }
    EXPECT_EQ(this->responseOf(*running).body, "done");
    EXPECT_EQ(this->responseOf(*late).body, "done");
    EXPECT_TRUE(waitUntil(this->loop, [&] { return stopped; }));
    EXPECT_TRUE(this->group.stopping) << "the session was not ended";
}

TEST_F(EntrySite, forwardsAnnouncements)
{
    this->start();
    const std::string body = R"({"service":"orders","name":"o1","zone":"etela-a",
        "address":"127.0.0.1:9001","slots":6,"connections":120,"checks_grants":true,
        "instance":"a"})";
    const auto announce = [&](const std::string &token, const std::string &json) {
        RawClient client(this->host->announcePort());
        client.write("POST /v1/announce HTTP/1.1\r\nhost: x\r\nauthorization: Bearer " + token
                     + "\r\ncontent-length: " + std::to_string(json.size()) + "\r\n\r\n" + json);
        return this->responseOf(client);
    };
    EXPECT_EQ(announce("wrong", body).status, 401);
    EXPECT_EQ(announce("secret", "{}").status, 400);
    std::string foreign = body;
    foreign.replace(foreign.find("etela-a"), 7, "north-a");
    EXPECT_EQ(announce("secret", foreign).status, 403);
    EXPECT_TRUE(this->group.announced.empty());
    const CallerResponse accepted = announce("secret", body);
    EXPECT_EQ(accepted.status, 200);
    EXPECT_EQ(nlohmann::json::parse(accepted.body),
              nlohmann::json::parse(R"({"lease_ms":1000,"announce_ms":150,"unchanged":true})"));
    EXPECT_EQ(this->group.announced, (std::vector<std::string> { "o1" }));
}

TEST_F(EntrySite, reportsZoneOutAsUnhealthy)
{
    this->start();
    this->group.table.settings["zone-out.etela-a"] = "true";
    ++this->group.table.toRevision;
    EXPECT_TRUE(this->becomesUnhealthy());
}

TEST_F(EntrySite, servesMetricsAndTraces)
{
    const std::string file = testing::TempDir() + "entryhost-trace.jsonl";
    std::remove(file.c_str());
    std::get<EntrySettings>(this->settings.role).traceFile = file;
    this->addOwner("o1", respondWith("x"));
    this->start();
    this->exchange("GET", "/orders/k");
    const std::string metrics = this->get(this->host->adminPort(), "/metrics");
    EXPECT_NE(metrics.find("cassiaroad_requests_total{outcome=\"answered\",service=\"orders\"} 1"),
              std::string::npos)
            << metrics;
    this->host.reset();
    std::ifstream stream(file);
    std::string line;
    ASSERT_TRUE(std::getline(stream, line));
    const auto span = nlohmann::json::parse(line)["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    EXPECT_EQ(span["name"], "entry GET orders");
    EXPECT_EQ(span["traceId"].get<std::string>().size(), 32U);
}
