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
 * Sends the announcements of one upstream to the entry hosts, one at a time, and applies the
 * responses to its grants. After a failure the next entry host is tried. Loop thread only.
 */
class Announcer
{
public:
    /**
     * @p load returns the load to announce, the share of slots in use. The other arguments must
     * outlive the object.
     */
    Announcer(EventLoop &loop, const UpstreamOptions &options, UpstreamGrants &grants,
              std::function<double()> load)
        : loop(loop)
        , options(options)
        , grants(grants)
        , load(std::move(load))
        , client(loop)
        , log("upstream")
    { }

    /** Starts to announce the upstream under the instance id @p instance. Call once. */
    void start(std::string instance)
    {
        this->instance = std::move(instance);
        this->announce();
    }

    /** Announces from now on that the upstream is draining. */
    void drain() { this->draining = true; }

    /** Whether an announcement that said "draining" was answered and no grants are left. */
    bool isDrained() const { return this->drained; }

private:
    static constexpr Milliseconds responseTimeout { 400 };
    static constexpr Milliseconds retryDelay { 50 };
    static constexpr std::size_t maxResponseBytes = 4UL << 20; // grants of all shards

    void announce()
    {
        const TimePoint sentAt = this->loop.now();
        const bool sentDraining = this->draining;
        const HostAddress &server
                = this->options.entryHosts[this->entryHostIndex % this->options.entryHosts.size()];
        this->call = this->client.send(server, this->request(), maxResponseBytes,
                                       [=, this](const HttpResult &result) {
                                           // The call must not be destroyed in its own callback;
                                           // finish() runs in the next iteration of the loop.
                                           this->timer = this->loop.callAfter({ 0 }, [=, this] {
                                               this->finish(result, sentAt, sentDraining);
                                           });
                                       });
        this->timer = this->loop.callAfter(responseTimeout, [=, this] {
            this->finish(HttpFailure { HttpFailure::Stage::Sent, "no response in time", false },
                         sentAt, sentDraining);
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
        const std::optional<Milliseconds> interval = this->applyResponse(result, sentAt);
        if (!interval) {
            ++this->entryHostIndex;
            this->timer = this->loop.callAfter(retryDelay, [this] { this->announce(); });
            return;
        }
        this->drained = sentDraining && this->grants.isEmpty();
        const Milliseconds elapsed = this->loop.now() - sentAt;
        this->timer = this->loop.callAfter(std::max(*interval - elapsed, Milliseconds { 1 }),
                                           [this] { this->announce(); });
    }

    /** Returns the interval to the next announcement, or nothing if this one failed. */
    std::optional<Milliseconds> applyResponse(const HttpResult &result, TimePoint sentAt)
    {
        const auto *response = std::get_if<HttpResponse>(&result);
        if (response == nullptr) {
            this->logIfChanged("announcement failed: " + std::get<HttpFailure>(result).reason);
            return std::nullopt;
        }
        const nlohmann::json body = nlohmann::json::parse(response->body, nullptr, false);
        if (response->status != 200 || body.is_discarded()) {
            this->logIfChanged("unexpected response to the announcement, status "
                               + std::to_string(response->status) + ": " + response->body);
            return std::nullopt;
        }
        try {
            this->grants.applyResponse(body, sentAt);
            this->logIfChanged("announced, " + std::to_string(this->grants.shardCount())
                               + " shards");
            return Milliseconds { body.at("announce_ms").get<std::int64_t>() };
        } catch (const nlohmann::json::exception &error) {
            this->logIfChanged(std::string("response to the announcement is not valid: ")
                               + error.what());
            return std::nullopt;
        }
    }

    /** Logs a text that differs from the last one: announcements are too frequent for a line each.
     */
    void logIfChanged(const std::string &text)
    {
        if (text != this->lastLogged) {
            this->log.info(text);
            this->lastLogged = text;
        }
    }

    EventLoop &loop;
    const UpstreamOptions &options;
    UpstreamGrants &grants;
    std::function<double()> load;
    HttpClient client;
    Log log;
    std::string instance;
    std::size_t entryHostIndex = 0;
    bool draining = false;
    bool drained = false;
    std::unique_ptr<HttpClient::Call> call;
    EventLoop::Timer timer;
    std::string lastLogged;
};

} // namespace cassiaroad
