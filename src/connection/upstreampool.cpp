#include "connection/upstreampool.h"

#include <algorithm>
#include <set>
#include <vector>

namespace cassiaroad {

namespace {

constexpr Milliseconds checkInterval { 100 };
constexpr Milliseconds probeTimeout { 1000 };
constexpr std::size_t maxProbeResponseBytes = 65536;

// Returns a function that asks @p canWrite, whatever is known of the connection.
HttpClient::DecideWrite onAnyConnection(std::function<bool()> canWrite)
{
    if (!canWrite) {
        return nullptr;
    }
    return [canWrite = std::move(canWrite)](const ConnectionState &) {
        return canWrite() ? WriteDecision::Write : WriteDecision::CloseConnection;
    };
}

} // namespace

struct UpstreamPool::Private : public std::enable_shared_from_this<UpstreamPool::Private>
{
    Private(EventLoop &loop, HttpClient &client, HostAddress address, Milliseconds silenceTimeout)
        : loop(loop)
        , client(client)
        , address(std::move(address))
        , silenceTimeout(silenceTimeout)
    { }

    /** Starts a probe if a connection is silent, and ends one that takes too long. */
    void check();
    void startProbe();
    void endProbe(const HttpResult &result);
    /**
     * Fails the calls without progress after @p silentSince: those that were not sent, and with
     * @p includeSent also the sent ones that are overdue.
     */
    void failSilentCalls(TimePoint silentSince, bool includeSent);
    /** Whether @p call made no progress for the silence timeout and its own stall timeout. */
    bool isOverdue(const PooledCall &call) const;
    void count(const HttpResult &result);

    EventLoop &loop;
    HttpClient &client;
    HostAddress address;
    Milliseconds silenceTimeout;
    std::size_t maxConnections = 1000;
    std::set<PooledCall *> calls;
    UpstreamObservation observation;
    std::uint64_t silentConnections = 0;
    std::unique_ptr<HttpClient::Call> probe;
    TimePoint probeStartedAt;
    EventLoop::Timer checkTimer;
};

/** A call of the pool; counts its result and can be failed by the pool. */
class UpstreamPool::PooledCall : public UpstreamPool::Call
{
public:
    PooledCall(std::shared_ptr<Private> pool, Milliseconds stallTimeout)
        : ownStallTimeout(stallTimeout)
        , pool(std::move(pool))
    { }
    ~PooledCall() override { this->pool->calls.erase(this); }
    PooledCall(const PooledCall &) = delete;
    PooledCall &operator=(const PooledCall &) = delete;

    void start(HttpRequest request, std::size_t maxResponseBytes,
               std::function<void(HttpResult)> callback, std::function<bool()> canWrite)
    {
        this->done = std::move(callback);
        this->pool->calls.insert(this);
        const std::size_t maxCount = this->pool->maxConnections;
        const std::size_t used = std::min(this->pool->calls.size(), maxCount);
        this->pool->client.trimIdle(this->pool->address, maxCount - used);
        this->call = this->pool->client.send(
                this->pool->address, std::move(request), maxResponseBytes,
                [this](HttpResult result) { this->finish(std::move(result)); },
                onAnyConnection(std::move(canWrite)));
    }

    bool isSent() const override { return this->sent || (this->call && this->call->isSent()); }
    TimePoint lastProgress() const { return this->call->lastProgress(); }
    Milliseconds stallTimeout() const { return this->ownStallTimeout; }

    /** Fails the call because its connection is silent, and closes the connection. */
    void failWithoutProgress()
    {
        const bool wasSent = this->call->isSent();
        this->sent = wasSent;
        this->call.reset();
        this->finish(HttpFailure { wasSent ? HttpFailure::Stage::Sent : HttpFailure::Stage::Connect,
                                   "the connection made no progress", false });
    }

private:
    Milliseconds ownStallTimeout;

    void finish(HttpResult result)
    {
        this->sent = this->sent || (this->call && this->call->isSent());
        this->pool->calls.erase(this);
        this->pool->count(result);
        // The callback may destroy this call.
        const auto callback = std::exchange(this->done, nullptr);
        callback(std::move(result));
    }

    std::shared_ptr<Private> pool;
    std::unique_ptr<HttpClient::Call> call;
    std::function<void(HttpResult)> done;
    bool sent = false;
};

// Only responses and connections that can't be opened are counted. A request that was cancelled or
// lost with its connection says nothing about the state of the upstream.
void UpstreamPool::Private::count(const HttpResult &result)
{
    if (std::holds_alternative<HttpResponse>(result)) {
        ++this->observation.requests;
        return;
    }
    const auto &failure = std::get<HttpFailure>(result);
    if (failure.stage == HttpFailure::Stage::Connect) {
        ++this->observation.requests;
        ++this->observation.failures;
    }
}

void UpstreamPool::Private::check()
{
    const TimePoint now = this->loop.now();
    if (this->probe) {
        if (now - this->probeStartedAt > probeTimeout) {
            this->endProbe(HttpFailure { HttpFailure::Stage::Sent, "probe timed out", false });
        }
        return;
    }
    const bool anySilent
            = std::any_of(this->calls.begin(), this->calls.end(), [&](const PooledCall *call) {
                  return now - call->lastProgress() >= this->silenceTimeout;
              });
    // While the upstream fails its probes, it is probed once per silence timeout.
    if (anySilent && now - this->probeStartedAt >= this->silenceTimeout) {
        this->startProbe();
    }
}

void UpstreamPool::Private::startProbe()
{
    this->probeStartedAt = this->loop.now();
    this->probe = this->client.sendOnNewConnection(
            this->address, { "GET", "/healthz", {}, {} }, maxProbeResponseBytes,
            [this](const HttpResult &result) { this->endProbe(result); });
}

void UpstreamPool::Private::endProbe(const HttpResult &result)
{
    const std::unique_ptr<HttpClient::Call> ended = std::move(this->probe);
    const std::shared_ptr<Private> keepAlive = this->shared_from_this();
    ++this->observation.requests;
    if (!std::holds_alternative<HttpResponse>(result)) {
        ++this->observation.failures;
        // Requests that were sent may still get a response when the upstream resumes.
        this->failSilentCalls(this->probeStartedAt - this->silenceTimeout, false);
        return;
    }
    this->client.closeIdle(this->address, ended->connectionOpenedAt());
    this->failSilentCalls(this->probeStartedAt - this->silenceTimeout, true);
}

bool UpstreamPool::Private::isOverdue(const PooledCall &call) const
{
    return this->loop.now() - call.lastProgress()
           >= std::max(this->silenceTimeout, call.stallTimeout());
}

void UpstreamPool::Private::failSilentCalls(TimePoint silentSince, bool includeSent)
{
    // Iterates over a copy, because a callback may start or destroy other calls.
    const std::set<PooledCall *> snapshot = this->calls;
    for (PooledCall *call : snapshot) {
        if (!this->calls.contains(call) || call->lastProgress() > silentSince
            || (call->isSent() && !(includeSent && this->isOverdue(*call)))) {
            continue;
        }
        ++this->silentConnections;
        call->failWithoutProgress();
    }
}

UpstreamPool::UpstreamPool(EventLoop &loop, HttpClient &client, HostAddress address,
                           Milliseconds silenceTimeout)
    : d(std::make_shared<Private>(loop, client, std::move(address), silenceTimeout))
{
    this->d->checkTimer = loop.callEvery(checkInterval, [d = this->d.get()] { d->check(); });
}

UpstreamPool::~UpstreamPool() = default;

std::unique_ptr<UpstreamPool::Call> UpstreamPool::send(HttpRequest request,
                                                       std::size_t maxResponseBytes,
                                                       std::function<void(HttpResult)> done,
                                                       std::function<bool()> canWrite,
                                                       Milliseconds stallTimeout)
{
    auto call = std::make_unique<PooledCall>(this->d, stallTimeout);
    call->start(std::move(request), maxResponseBytes, std::move(done), std::move(canWrite));
    return call;
}

void UpstreamPool::countShed()
{
    ++this->d->observation.shed;
}

UpstreamObservation UpstreamPool::takeObservation()
{
    return std::exchange(this->d->observation, {});
}

void UpstreamPool::returnObservation(const UpstreamObservation &observation)
{
    this->d->observation.requests += observation.requests;
    this->d->observation.failures += observation.failures;
    this->d->observation.shed += observation.shed;
}

void UpstreamPool::setSilenceTimeout(Milliseconds silenceTimeout)
{
    this->d->silenceTimeout = silenceTimeout;
}

void UpstreamPool::setMaxConnections(std::size_t maxCount)
{
    this->d->maxConnections = maxCount;
}

std::uint64_t UpstreamPool::silentConnections() const
{
    return this->d->silentConnections;
}

} // namespace cassiaroad
