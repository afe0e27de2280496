#pragma once

#include "cassiaroad/entryhost.h"
#include "fakecontrol.h"
#include "support/closedport.h"
#include "support/fakepeer.h"
#include "support/loopwait.h"
#include "support/rawclient.h"

#include <gtest/gtest.h>

namespace cassiaroad {

constexpr std::uint32_t testShards = 8;

/** Parsed response of the listener for callers. */
struct CallerResponse
{
    int status = 0;
    std::string outcome; // value of cassiaroad-outcome
    std::string head;
    std::string body;
};

/** An entry host with a fake control group and fake upstreams, all on one loop. */
class EntrySite : public testing::Test
{
protected:
    EntrySite()
    {
        this->control->listen({ "127.0.0.1", 0 });
        this->settings.site = "test";
        this->settings.host = "entry-1";
        this->settings.region = "etela";
        this->settings.zone = "etela-a";
        this->settings.group = "etela";
        this->settings.regions = { { "etela", { "etela-a", "etela-b" }, {} } };
        this->settings.services = { { "orders", testShards, Priority::Critical, Priority::Bulk } };
        this->settings.members
                = { { 1, "etela", "etela-a", { "127.0.0.1", this->control->port() }, {} } };
        EntrySettings entry;
        entry.callers = entry.announce = entry.admin = { "127.0.0.1", 0 };
        entry.announceToken = "secret";
        this->settings.role = entry;
        this->settings.timing.drainDelay = { 100 };
        this->settings.timing.silenceTimeout = { 500 };
        this->settings.timing.defaultDeadline = { 3000 };
        this->settings.limits.queueTimeout = { 800 };
    }

    /** Starts the entry host and waits until it has the route table of the group. */
    void start()
    {
        this->host = std::make_unique<EntryHost>(this->loop, this->settings);
        ASSERT_EQ(this->host->start(), "");
        ASSERT_TRUE(this->receivesTable());
    }

    bool receivesTable()
    {
        return waitUntil(this->loop,
                         [&] { return this->group.seen == this->group.table.toRevision; });
    }

    Upstream upstreamAt(std::uint16_t port, const std::string &name) const
    {
        return { { "orders", name }, "etela-a", "127.0.0.1:" + std::to_string(port),
                 this->slots,        120,       true,
                 "i-" + name,        false };
    }

    /** Adds an upstream that owns every shard at @p epoch. */
    FakePeer &addOwner(const std::string &name, FakePeer::Script script, Epoch epoch = 1)
    {
        this->peers.push_back(std::make_unique<FakePeer>(this->loop, std::move(script)));
        this->group.assign("orders", testShards, this->upstreamAt(this->peers.back()->port, name),
                           epoch);
        return *this->peers.back();
    }

    /** Adds an upstream that owns every shard and refuses connections. */
    void addUnreachableOwner(const std::string &name)
    {
        this->group.assign("orders", testShards, this->upstreamAt(this->closedPort.port, name), 1);
    }

    std::unique_ptr<RawClient> send(const std::string &method, const std::string &path,
                                    const std::string &headers = "", const std::string &body = "")
    {
        auto client = std::make_unique<RawClient>(this->host->callersPort());
        const std::string length
                = body.empty() && method != "POST"
                          ? ""
                          : "content-length: " + std::to_string(body.size()) + "\r\n";
        client->write(method + " " + path + " HTTP/1.1\r\nhost: x\r\n" + headers + length + "\r\n"
                      + body);
        return client;
    }

    static bool hasCompleteResponse(RawClient &client)
    {
        const std::string &text = client.received();
        const std::size_t end = text.find("\r\n\r\n");
        if (end == std::string::npos) {
            return false;
        }
        const std::size_t at = text.find("Content-Length: ");
        const std::size_t length = at == std::string::npos ? 0 : std::stoul(text.substr(at + 16));
        return text.size() >= end + 4 + length;
    }

    CallerResponse responseOf(RawClient &client)
    {
        CallerResponse response;
        if (!waitUntil(this->loop, [&] { return hasCompleteResponse(client); })) {
            return response;
        }
        const std::string &text = client.received();
        response.status = std::stoi(text.substr(9, 3));
        response.head = text.substr(0, text.find("\r\n\r\n") + 2);
        response.body = text.substr(text.find("\r\n\r\n") + 4);
        const std::string name = "cassiaroad-outcome: ";
        const std::size_t at = response.head.find(name);
        if (at != std::string::npos) {
            const std::size_t start = at + name.size();
            response.outcome = response.head.substr(start, response.head.find('\r', start) - start);
        }
        return response;
    }

    CallerResponse exchange(const std::string &method, const std::string &path,
                            const std::string &headers = "", const std::string &body = "")
    {
        return this->responseOf(*this->send(method, path, headers, body));
    }

    std::string get(std::uint16_t port, const std::string &path)
    {
        RawClient client(port);
        client.write("GET " + path + " HTTP/1.1\r\nhost: x\r\n\r\n");
        waitUntil(this->loop, [&] { return hasCompleteResponse(client); });
        return client.received();
    }

    bool becomesUnhealthy()
    {
        const TimePoint end = this->loop.now() + testTimeout;
        while (this->loop.now() < end) {
            if (this->get(this->host->adminPort(), "/healthz").find(" 503 ") != std::string::npos) {
                return true;
            }
            runFor(this->loop, { 20 });
        }
        return false;
    }

    EventLoop loop;
    FakeGroup group;
    std::unique_ptr<RpcServer> control = std::make_unique<RpcServer>(
            this->loop, RpcServerLimits {}, kj::heap<FakeControl>(this->loop, this->group));
    Settings settings;
    std::uint32_t slots = 6;
    std::vector<std::unique_ptr<FakePeer>> peers;
    ClosedPort closedPort;
    std::unique_ptr<EntryHost> host;
};

/** Script of an upstream that responds to each complete request with @p body. */
inline FakePeer::Script respondWith(const std::string &body)
{
    return [body](FakePeer::Connection &connection) {
        const std::size_t head = connection.received.find("\r\n\r\n");
        if (head == std::string::npos) {
            return;
        }
        const std::size_t at = connection.received.find("content-length: ");
        const std::size_t length
                = at == std::string::npos ? 0 : std::stoul(connection.received.substr(at + 16));
        if (connection.received.size() < head + 4 + length) {
            return;
        }
        connection.received.erase(0, head + 4 + length);
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body.size())
                         + "\r\n\r\n" + body);
    };
}

} // namespace cassiaroad
