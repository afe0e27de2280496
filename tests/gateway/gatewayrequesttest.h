#pragma once

#include "gateway/gatewayrequest.h"
#include "gateway/runahead.h"

#include "process/parsenumber.h"
#include "process/textdelta.h"
#include "process/textpack.h"
#include "support/fakecodec.h"
#include "support/fakepeer.h"
#include "support/loopwait.h"
#include "support/rawclient.h"
#include "version/routingchange.h"

#include <gtest/gtest.h>

namespace cassiaroad {

inline const std::string keyedService = "orders";
inline const std::string plainService = "store";

/** Codec of the test: each document is the version of a configuration with three routes. */
class TestCodec : public FakeCodec
{
public:
    TestCodec()
        : FakeCodec({ "x-id", "x-deadline", "x-expect", "x-upstream", "x-load", "x-not-executed",
                      "x-key", "x-base", "x-handover", "x-leaving", "x-warm" })
    { }

    std::variant<SiteConfiguration, ConfigurationError> decodeConfiguration(
            std::string_view document) const override
    {
        SiteConfiguration configuration;
        configuration.version = parseNumber<ConfigurationVersion>(document).value_or(1);
        configuration.services[keyedService].keyed = true;
        configuration.services[keyedService].coldRate = this->coldRate;
        configuration.services[plainService].coldRate = this->coldRate;
        configuration.services[plainService].keyed = false;
        configuration.services[keyedService].healthPath = this->healthPath;
        configuration.services[plainService].healthPath = this->healthPath;
        addRoute(configuration, "read", "/read/", RouteKind::Safe, keyedService);
        addRoute(configuration, "order", "/order/", RouteKind::Unsafe, keyedService);
        addRoute(configuration, "file", "/file/", RouteKind::Upload, plainService);
        for (auto &[name, route] : configuration.routes) {
            route.homes = this->homes;
        }
        return configuration;
    }

    HomeRegions homes; // of all routes in configurations that are decoded later
    double coldRate = 0.0; // that the services state
    std::string healthPath; // of the services

private:
    static void addRoute(SiteConfiguration &configuration, const std::string &name,
                         const std::string &prefix, RouteKind kind, const std::string &service)
    {
        SiteRoute &route = configuration.routes[name];
        route.host = "maps.example";
        route.pathPrefix = prefix;
        route.kind = kind;
        route.timeout = { 3000 };
        route.attempts = 2;
        route.services = { { service, 1.0 } };
    }
};

// Returns @p head with the request id of the received request, which a response must repeat.
inline std::string withRequestId(const std::string &received, const std::string &head)
{
    const std::size_t at = received.find("x-id: ");
    return head + "x-id: " + received.substr(at + 6, received.find('\r', at) - at - 6) + "\r\n";
}

/** A gateway and one upstream of each service, in one event loop. */
class GatewayRequestTest : public testing::Test
{
protected:
    GatewayRequestTest()
        : settings(testSettings())
        , log("test")
        , core(loop, settings, codec, metrics, log)
        , callers(
                  loop, {},
                  [this](std::shared_ptr<HttpExchange> exchange) {
                      GatewayRequest::begin(this->core, std::move(exchange));
                  },
                  [this](std::string_view /*method*/, std::string_view host,
                         std::string_view path) { return runAheadOf(this->core, host, path); })
    {
        this->callers.listen({ "127.0.0.1", 0 });
    }

    static SiteSettings testSettings()
    {
        SiteSettings settings;
        settings.host = "front-1";
        settings.zone = "a";
        settings.regions = { { "a", "r" } };
        // The fixed number of retries cannot be used in the first window after the start.
        settings.bounds.retryShare = 10.0;
        return settings;
    }

    /** Starts the upstream with @p script and publishes a table in which it owns all keys. */
    void serve(FakePeer::Script script)
    {
        this->peer = std::make_unique<FakePeer>(this->loop, std::move(script));
        this->publish(RangePhase::Owned);
    }

    /** Sends the gateway a table in which all keys of the keyed upstream are in @p phase. */
    void publish(RangePhase phase) { this->publish(phase, UpstreamPhase::Ready, this->loop.now()); }

    /** As above; the leader made the table, with the upstreams in @p upstreamPhase, at @p madeAt.
     */
    void publish(RangePhase phase, UpstreamPhase upstreamPhase, TimePoint madeAt)
    {
        GatewayUpdate update;
        update.version = this->version;
        update.document = packText(std::to_string(this->version));
        update.tableTag = ++this->tag;
        RoutingTable table;
        for (const std::string &service : { keyedService, plainService }) {
            const SiteUpstream upstream { { "i-" + service, this->born },
                                          service,
                                          { "127.0.0.1", this->peer->port },
                                          "a",
                                          6,
                                          upstreamPhase };
            table.upstreams.push_back({ upstream, false, this->isWarming, this->admitted });
        }
        table.upstreams.insert(table.upstreams.end(), this->others.begin(), this->others.end());
        table.evacuatedZones = this->evacuatedZones;
        table.ranges[keyedService] = { { { 0, lastKey }, this->owner, phase } };
        update.change = encode(changeBetween({}, table));
        update.gateways = this->gateways;
        update.trafficShare = 1.0 / this->gateways;
        this->core.update(update, madeAt);
    }

    /** Sends the gateway a table without upstreams. */
    void publishNoUpstreams()
    {
        GatewayUpdate update;
        update.version = 1;
        update.tableTag = ++this->tag;
        update.change = encode(changeBetween({}, {}));
        this->core.update(update, this->loop.now());
    }

    std::unique_ptr<RawClient> request(const std::string &method, const std::string &path,
                                       const std::string &deadline = "2000",
                                       const std::string &id = "r1")
    {
        auto client = std::make_unique<RawClient>(this->callers.port());
        client->write(method + " " + path + " HTTP/1.1\r\nhost: maps.example\r\n" + "x-id: " + id
                      + "\r\nx-deadline: " + deadline
                      + "\r\nx-key: 7\r\ncontent-length: 0\r\n\r\n");
        return client;
    }

    bool waitForResponse(RawClient &client, const std::string &text,
                         Milliseconds maxWait = testTimeout)
    {
        return waitUntil(
                this->loop, [&] { return client.received().find(text) != std::string::npos; },
                maxWait);
    }

    EventLoop loop;
    SiteSettings settings;
    TestCodec codec;
    Metrics metrics;
    EventLog log;
    GatewayCore core;
    HttpServer callers;
    std::unique_ptr<FakePeer> peer;
    std::uint64_t tag = 0;
    ConfigurationVersion version = 1; // of the configuration in the next update
    std::int64_t born = 1; // of the upstreams in the next table
    std::vector<RoutedUpstream> others; // in the next tables
    bool isWarming = false; // the upstreams of both services in the next tables
    std::uint32_t gateways = 1; // as the leader tells
    std::optional<std::uint16_t> admitted; // of the upstreams of both services in the next tables
    std::set<std::string> evacuatedZones; // in the next tables
    std::string owner = "i-" + keyedService; // of all keys in the next tables
};

} // namespace cassiaroad
