// Stand-in for an upstream: announces itself, takes grants, serves requests and keeps a journal of
// those it ran.

#include "announcer.h"
#include "upstreamhandler.h"

#include <csignal>
#include <cstdio>

using namespace cassiaroad;

namespace {

/** One running test upstream. */
class TestUpstream
{
public:
    TestUpstream(EventLoop &loop, const UpstreamOptions &options)
        : loop(loop)
        , options(options)
        , log("upstream")
        , handler(loop, options, this->grants)
        , server(loop, HttpServerLimits { maxBodyBytes, options.connections },
                 [this](std::shared_ptr<HttpExchange> exchange) {
                     this->handler.handle(std::move(exchange));
                 })
        , announcer(loop, options, this->grants, [this] { return this->handler.load(); })
    { }

    /** Runs until it is drained; returns the exit status. */
    int run()
    {
        const std::string failure = this->server.listen(this->options.listen);
        if (!failure.empty()) {
            this->log.error("cannot listen on " + this->options.listen.toString() + ": " + failure);
            return 1;
        }
        this->loop.onSignal(SIGTERM, [this] { this->drain(); });
        this->announcer.start(std::to_string(std::random_device()()));
        this->log.info(this->options.name + " serves " + this->options.service + " on "
                       + this->options.listen.toString());
        this->loop.run();
        return this->status;
    }

private:
    static constexpr std::size_t maxBodyBytes = 64UL << 20;
    static constexpr Milliseconds drainCheck { 20 };

    void drain()
    {
        this->log.info("drains");
        this->announcer.drain();
        this->drainEnd = this->loop.now() + Milliseconds { this->options.drainLimitMs };
        this->drainTimer = this->loop.callEvery(drainCheck, [this] { this->checkDrained(); });
    }

    void checkDrained()
    {
        const bool drained = this->announcer.isDrained() && this->handler.running() == 0;
        if (!drained && this->loop.now() < this->drainEnd) {
            return;
        }
        this->status = drained ? 0 : 1;
        this->log.info(drained ? "drained, stops" : "still holds grants, stops");
        this->drainTimer = {};
        this->loop.stop();
    }

    EventLoop &loop;
    const UpstreamOptions &options;
    Log log;
    UpstreamGrants grants;
    UpstreamHandler handler;
    HttpServer server;
    Announcer announcer;
    TimePoint drainEnd;
    EventLoop::Timer drainTimer;
    int status = 0;
};

} // namespace

int main(int argc, char **argv)
{
    UpstreamOptions options;
    if (!readUpstreamOptions(options, argc, argv)) {
        std::fputs(upstreamUsage(), stderr);
        return 2;
    }
    Log::configure(false);
    EventLoop loop;
    return TestUpstream(loop, options).run();
}
