// Open-loop load generator: requests are sent at random times that do not depend on the responses,
// and each latency is measured from the time at which the request was due.

#include "latencyhistogram.h"
#include "loadoptions.h"

#include "connection/httpclient.h"

#include <cmath>
#include <cstdio>
#include <list>
#include <map>
#include <random>

#include <nlohmann/json.hpp>

using namespace cassiaroad;

namespace {

// Clock counts in milliseconds, which is too coarse for latencies.
using LatencyClock = std::chrono::steady_clock;

/** Draws keys from a Zipf distribution. */
class KeyChooser
{
public:
    KeyChooser(std::uint64_t keys, double skew)
    {
        double sum = 0;
        for (std::uint64_t rank = 1; rank <= keys; ++rank) {
            sum += std::pow(static_cast<double>(rank), -skew);
            this->cumulativeWeights.push_back(sum);
        }
    }

    template <typename Random>
    std::string choose(Random &random) const
    {
        std::uniform_real_distribution<double> share(0, this->cumulativeWeights.back());
        const auto found = std::lower_bound(this->cumulativeWeights.begin(),
                                            this->cumulativeWeights.end(), share(random));
        return "key-" + std::to_string(found - this->cumulativeWeights.begin());
    }

private:
    std::vector<double> cumulativeWeights;
};

/** One run of the load tool: sends the requests and counts their outcomes and latencies. */
class LoadGenerator
{
public:
    LoadGenerator(EventLoop &loop, const LoadOptions &options)
        : loop(loop)
        , options(options)
        , client(loop)
        , keys(options.keys, options.skew)
        , random(options.seed)
        , start(LatencyClock::now())
        , next(start)
    { }

    /**
     * Sends all requests, waits for their responses at most the deadline and one second, and prints
     * the report.
     */
    void run()
    {
        this->tick = this->loop.callEvery({ 1 }, [this] { this->sendDue(); });
        this->loop.run();
        this->calls.clear();
        this->print();
    }

private:
    struct Pending
    {
        std::unique_ptr<HttpClient::Call> call;
        LatencyClock::time_point due;
        bool counted = false; // whether it was due after the warm-up
    };

    LatencyClock::time_point warmupEnd() const
    {
        return this->start + std::chrono::milliseconds(this->options.warmupMs);
    }

    LatencyClock::time_point end() const
    {
        return this->warmupEnd() + std::chrono::seconds(this->options.seconds);
    }

    void sendDue()
    {
        std::exponential_distribution<double> gap(this->options.rate);
        const LatencyClock::time_point now = LatencyClock::now();
        while (this->next <= now && this->next < this->end()) {
            this->send(this->next);
            this->next += std::chrono::duration_cast<LatencyClock::duration>(
                    std::chrono::duration<double>(gap(this->random)));
        }
        this->finished.clear();
        const bool late
                = now > this->end() + std::chrono::milliseconds(this->options.deadlineMs + 1000);
        if (this->next >= this->end() && (this->calls.empty() || late)) {
            this->tick = {};
            this->loop.stop();
        }
    }

    HttpRequest drawRequest()
    {
        std::uniform_real_distribution<double> share(0, 1);
        const bool post = share(this->random) < this->options.posts;
        const bool keyed = post && share(this->random) < this->options.keyed;
        HttpRequest request { post ? "POST" : "GET",
                              "/" + this->options.service + "/" + this->keys.choose(this->random)
                                      + this->options.suffix,
                              { { "request-id", std::to_string(this->options.seed) + "-"
                                                        + std::to_string(this->sent) },
                                { "cassiaroad-deadline-ms",
                                  std::to_string(this->options.deadlineMs) } },
                              std::string(post ? this->options.bodyBytes : 0, 'x') };
        if (keyed) {
            request.headers.emplace_back("idempotency-key",
                                         "load-" + std::to_string(this->options.seed) + "-"
                                                 + std::to_string(this->sent));
        }
        if (!this->options.grant.empty()) {
            request.headers.emplace_back("cassiaroad-grant", this->options.grant);
        }
        return request;
    }

    void send(LatencyClock::time_point due)
    {
        const HostAddress &target
                = this->options.targets[this->sent % this->options.targets.size()];
        const HttpRequest request = this->drawRequest();
        ++this->sent;
        this->calls.push_back({ nullptr, due, due >= this->warmupEnd() });
        const auto pending = std::prev(this->calls.end());
        pending->call = this->client.send(
                target, request, maxResponseBytes,
                [this, pending](const HttpResult &result) { this->finish(pending, result); });
    }

    void finish(std::list<Pending>::iterator pending, const HttpResult &result)
    {
        const std::string outcome = this->outcomeOf(result);
        if (pending->counted) {
            const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
                    LatencyClock::now() - pending->due);
            ++this->outcomes[outcome];
            if (outcome == "answered") {
                this->histogram.add(latency.count());
            }
        }
        // A call must not be destroyed in its own callback.
        this->finished.splice(this->finished.end(), this->calls, pending);
    }

    static std::string outcomeOf(const HttpResult &result)
    {
        if (const auto *failure = std::get_if<HttpFailure>(&result)) {
            return failure->stage == HttpFailure::Stage::Connect ? "not-connected" : "no-answer";
        }
        const auto &response = std::get<HttpResponse>(result);
        for (const auto &[name, value] : response.headers) {
            if (name == "cassiaroad-outcome" && value != "answered") {
                return value;
            }
        }
        return response.status < 500 ? "answered" : "failed-" + std::to_string(response.status);
    }

    void print() const
    {
        const nlohmann::json report {
            { "sent", this->sent },
            { "rate", this->options.rate },
            { "seed", this->options.seed },
            { "outcomes", this->outcomes },
            { "p50_ms", static_cast<double>(this->histogram.quantile(0.5)) / 1000 },
            { "p90_ms", static_cast<double>(this->histogram.quantile(0.9)) / 1000 },
            { "p99_ms", static_cast<double>(this->histogram.quantile(0.99)) / 1000 },
            { "p999_ms", static_cast<double>(this->histogram.quantile(0.999)) / 1000 },
            { "max_ms", static_cast<double>(this->histogram.quantile(1)) / 1000 },
        };
        std::printf("%s\n", report.dump().c_str());
    }

    static constexpr std::size_t maxResponseBytes = 8UL << 20;

    EventLoop &loop;
    const LoadOptions &options;
    HttpClient client;
    KeyChooser keys;
    std::mt19937_64 random;
    LatencyClock::time_point start;
    LatencyClock::time_point next; // when the next request is due
    std::uint64_t sent = 0;
    std::list<Pending> calls;
    std::list<Pending> finished; // to be destroyed in the next sendDue()
    std::map<std::string, std::uint64_t> outcomes;
    LatencyHistogram histogram;
    EventLoop::Timer tick;
};

} // namespace

int main(int argc, char **argv)
{
    LoadOptions options;
    if (!readLoadOptions(options, argc, argv)) {
        std::fputs(loadUsage(), stderr);
        return 2;
    }
    EventLoop loop;
    LoadGenerator(loop, options).run();
    return 0;
}
