// Simulated upstream for tests: announces itself, applies the grants that it receives, serves
// requests and writes a journal of the requests that it ran.

#include "announcer.h"
#include "upstreamhandler.h"

#include <csignal>
#include <cstdio>

using namespace cassiaroad;

namespace {

/** The parts of a test upstream and its shutdown. */
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

    /**
     * Runs until SIGTERM and the end of the drain. Returns the exit status: 0 if the upstream was
     * drained, 1 if it cannot listen or the drain limit passed.
     */
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
        return this->exitStatus;
    }

private:
    static constexpr std::size_t maxBodyBytes = 64UL << 20;
    static constexpr Milliseconds drainCheckInterval { 20 };

    void drain()
    {
        this->log.info("draining");
        this->announcer.drain();
        this->drainDeadline = this->loop.now() + Milliseconds { this->options.drainLimitMs };
        this->drainTimer
                = this->loop.callEvery(drainCheckInterval, [this] { this->stopIfDrained(); });
    }

    void stopIfDrained()
    {
        const bool drained = this->announcer.isDrained() && this->handler.running() == 0;
        if (!drained && this->loop.now() < this->drainDeadline) {
            return;
        }
        this->exitStatus = drained ? 0 : 1;
        this->log.info(drained ? "drained, stopping" : "drain limit passed, stopping");
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
    TimePoint drainDeadline;
    EventLoop::Timer drainTimer;
    int exitStatus = 0;
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
