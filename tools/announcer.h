#pragma once

#include "connection/httpclient.h"
#include "process/eventloop.h"
#include "process/log.h"
#include "upstreamgrants.h"
#include "upstreamoptions.h"

#include <functional>
#include <memory>
#include <optional>

namespace cassiaroad {

/**
 * Announces one upstream to the entry hosts, one announcement at a time, and puts the answers into
 * its grants. Loop thread only.
 */
class Announcer
{
public:
    /** @p load returns the share of slots in use. The arguments must outlive the object. */
    Announcer(EventLoop &loop, const UpstreamOptions &options, UpstreamGrants &grants,
              std::function<double()> load)
        : loop(loop)
        , options(options)
        , grants(grants)
        , load(std::move(load))
        , client(loop)
        , log("upstream")
    { }

    /** Starts to announce as @p instance. Call once. */
    void start(std::string instance)
    {
        this->instance = std::move(instance);
        this->announce();
    }

    /** From now on announces that the upstream is leaving. */
    void drain() { this->draining = true; }

    /** Whether the group has answered a draining announcement with no grants left. */
    bool isDrained() const { return this->drained; }

private:
    static constexpr Milliseconds answerTimeout { 400 };
    static constexpr Milliseconds retryDelay { 50 };
    static constexpr std::size_t maxResponseBytes = 4UL << 20; // grants of all shards

    void announce()
    {
        const TimePoint sentAt = this->loop.now();
        const bool sentDraining = this->draining;
        const HostAddress &server
                = this->options.entryHosts[this->next % this->options.entryHosts.size()];
        this->call = this->client.send(server, this->request(), maxResponseBytes,
                                       [=, this](const HttpResult &result) {
                                           // The callback runs inside the call, which therefore
                                           // ends in the next turn.
                                           this->timer = this->loop.callAfter({ 0 }, [=, this] {
                                               this->finish(result, sentAt, sentDraining);
                                           });
                                       });
        this->timer = this->loop.callAfter(answerTimeout, [=, this] {
            this->finish(HttpFailure { HttpFailure::Stage::Sent, "no answer", false }, sentAt,
                         sentDraining);
        });
    }

    HttpRequest request() const
    {
        nlohmann::json body { { "service", this->options.service },
                              { "name", this->options.name },
                              { "zone", this->options.zone },
                              { "address", this->options.address.toString() },
                              { "slots", this->options.slots },
                              { "connections", this->options.connections },
                              { "checks_grants", this->options.checks },
                              { "instance", this->instance },
                              { "draining", this->draining },
                              { "held_grants", this->grants.version() },
                              { "load", this->load() } };
        this->grants.addReleased(body);
        return { "POST",
                 "/v1/announce",
                 { { "authorization", "Bearer " + this->options.token },
                   { "content-type", "application/json" } },
                 body.dump() };
    }

    void finish(const HttpResult &result, TimePoint sentAt, bool sentDraining)
    {
        this->call.reset();
        const std::optional<Milliseconds> interval = this->take(result, sentAt);
        if (!interval) {
            ++this->next;
            this->timer = this->loop.callAfter(retryDelay, [this] { this->announce(); });
            return;
        }
        this->drained = sentDraining && this->grants.isEmpty();
        const Milliseconds spent = this->loop.now() - sentAt;
        this->timer = this->loop.callAfter(std::max(*interval - spent, Milliseconds { 1 }),
                                           [this] { this->announce(); });
    }

    /** Returns the time to the next announcement, or nothing if this one failed. */
    std::optional<Milliseconds> take(const HttpResult &result, TimePoint sentAt)
    {
        const auto *answer = std::get_if<HttpResponse>(&result);
        if (answer == nullptr) {
            this->report("announcement failed: " + std::get<HttpFailure>(result).reason);
            return std::nullopt;
        }
        const nlohmann::json body = nlohmann::json::parse(answer->body, nullptr, false);
        if (answer->status != 200 || body.is_discarded()) {
            this->report("announcement answered with " + std::to_string(answer->status) + ": "
                         + answer->body);
            return std::nullopt;
        }
        try {
            this->grants.take(body, sentAt);
            this->report("announced, " + std::to_string(this->grants.shardCount()) + " shards");
            return Milliseconds { body.at("announce_ms").get<std::int64_t>() };
        } catch (const nlohmann::json::exception &error) {
            this->report(std::string("announcement answer is not valid: ") + error.what());
            return std::nullopt;
        }
    }

    /** Logs changes only; announcements are too frequent for a line each. */
    void report(const std::string &text)
    {
        if (text != this->lastReport) {
            this->log.info(text);
            this->lastReport = text;
        }
    }

    EventLoop &loop;
    const UpstreamOptions &options;
    UpstreamGrants &grants;
    std::function<double()> load;
    HttpClient client;
    Log log;
    std::string instance;
    std::size_t next = 0;
    bool draining = false;
    bool drained = false;
    std::unique_ptr<HttpClient::Call> call;
    EventLoop::Timer timer;
    std::string lastReport;
};

} // namespace cassiaroad
