#pragma once

#include "upstreamgrants.h"
#include "upstreamoptions.h"
#include "upstreamservice.h"

#include "process/eventloop.h"

#include <map>
#include <memory>

namespace cassiaroad {

/**
 * Refuses each request to the test upstream, or runs it in a slot and answers it. A request that
 * runs occupies its slot for the service time. Loop thread only.
 */
class UpstreamHandler
{
public:
    /** The arguments must outlive the object. */
    UpstreamHandler(EventLoop &loop, const UpstreamOptions &options, UpstreamGrants &grants)
        : loop(loop)
        , options(options)
        , grants(grants)
        , journal(options.journal, options.name)
        , service(options.name,
                  options.store.empty() ? options.journal + ".uploads" : options.store)
        , startedAt(loop.now())
    { }

    void handle(std::shared_ptr<HttpExchange> exchange)
    {
        const std::string path(exchange->path().substr(0, exchange->path().find('?')));
        if (path == "/healthz") {
            exchange->answer(this->options.healthStatus, {}, "ok\n");
            return;
        }
        const std::string prefix = "/" + this->options.service + "/";
        const std::size_t keyEnd = path.find('/', prefix.size());
        if (!path.starts_with(prefix) || path.size() == prefix.size()) {
            exchange->answer(404, {}, "another service\n");
            return;
        }
        const std::string key = path.substr(prefix.size(), keyEnd - prefix.size());
        const std::string grant(exchange->header("cassiaroad-grant"));
        if (this->options.checks && !this->grants.allows(grant, key, this->loop.now())) {
            refuse(*exchange, 409, "grant is not held");
            return;
        }
        if (this->runningRequests >= this->options.slots) {
            refuse(*exchange, 503, "all slots are in use");
            return;
        }
        if (!this->canMeetDeadline(*exchange)) {
            refuse(*exchange, 503, "deadline is too short");
            return;
        }
        const std::string subpath = keyEnd == std::string::npos ? "" : path.substr(keyEnd + 1);
        this->run(std::move(exchange), key, subpath, grant);
    }

    /** Load to announce: the share of slots in use, or the false value of the options. */
    double load() const
    {
        return this->options.reportedLoad >= 0
                       ? this->options.reportedLoad
                       : static_cast<double>(this->runningRequests) / this->options.slots;
    }

    /** Number of requests that occupy a slot. */
    std::uint32_t running() const { return this->runningRequests; }

private:
    /** A request that was accepted, until its response was sent. */
    struct Run
    {
        std::shared_ptr<HttpExchange> exchange;
        UpstreamResponse answer;
        std::string key;
        std::string grant;
        EventLoop::Timer timer;
        bool ended = false;
    };

    static void refuse(HttpExchange &exchange, int status, const std::string &reason)
    {
        exchange.answer(status, { { "cassiaroad-outcome", "not-run" } }, reason + "\n");
    }

    /** Service time of a request; four times as long while the upstream is cold. */
    std::int64_t serviceMs() const
    {
        const bool cold
                = this->loop.now() - this->startedAt < Milliseconds { this->options.coldMs };
        return this->options.serviceMs * (cold ? 4 : 1);
    }

    bool canMeetDeadline(const HttpExchange &exchange) const
    {
        const std::string deadline(exchange.header("cassiaroad-deadline-ms"));
        return deadline.empty() || std::atoll(deadline.c_str()) >= this->serviceMs();
    }

    void run(std::shared_ptr<HttpExchange> exchange, const std::string &key,
             const std::string &subpath, const std::string &grant)
    {
        auto run = std::make_shared<Run>();
        run->answer = this->service.run(*exchange, key, subpath);
        run->exchange = std::move(exchange);
        run->key = key;
        run->grant = grant;
        this->journal.add(*run->exchange, key, run->answer.status, this->serviceMs());
        this->grants.begin(grant, key);
        ++this->runningRequests;
        // The slot becomes free when the caller cancels.
        run->exchange->onClientGone([this, weak = std::weak_ptr(run)] {
            if (const auto cancelled = weak.lock()) {
                this->end(*cancelled);
            }
        });
        run->timer
                = this->loop.callAfter({ this->serviceMs() }, [this, run] { this->finish(run); });
    }

    void finish(const std::shared_ptr<Run> &run)
    {
        if (run->ended) {
            return;
        }
        this->end(*run);
        if (this->options.delayMs > 0) {
            run->timer = this->loop.callAfter({ this->options.delayMs }, [run] { send(*run); });
            return;
        }
        send(*run);
    }

    static void send(Run &run)
    {
        run.exchange->answer(run.answer.status, run.answer.headers, run.answer.body);
        // Breaks the reference cycle: the callback of the timer owns the run, which owns the timer.
        const auto timer = std::move(run.timer);
        run.exchange.reset();
    }

    void end(Run &run)
    {
        if (!run.ended) {
            run.ended = true;
            --this->runningRequests;
            this->grants.end(run.grant, run.key);
        }
    }

    EventLoop &loop;
    const UpstreamOptions &options;
    UpstreamGrants &grants;
    RequestJournal journal;
    UpstreamService service;
    TimePoint startedAt;
    std::uint32_t runningRequests = 0;
};

} // namespace cassiaroad
