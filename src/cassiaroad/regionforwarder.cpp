#include "cassiaroad/regionforwarder.h"

namespace cassiaroad {

namespace {

constexpr int badGateway = 502;
constexpr int unavailable = 503;
const std::string linkBytes = "cassiaroad_link_bytes_total";
const std::string linkHelp = "Bytes of requests and answers between regions, by cause";

std::size_t sizeOf(const Headers &headers)
{
    std::size_t size = 0;
    for (const auto &[name, value] : headers) {
        size += name.size() + value.size() + 4; // ": " and the line end
    }
    return size;
}

// An entry host of the home region may make no progress for the silence timeout of a connection to
// the upstream and then for the queue timeout, while the link and the entry host are sound.
Milliseconds gatewaySilenceTimeout(const Settings &settings)
{
    return settings.timing.silenceTimeout * 2 + settings.limits.queueTimeout;
}

} // namespace

/** An entry host of another region, with the connections to it. */
struct RegionForwarder::Gateway
{
    Gateway(EventLoop &loop, HttpClient &client, const HostAddress &address,
            Milliseconds silenceTimeout)
        : pool(loop, client, address, silenceTimeout)
    { }

    UpstreamPool pool;
};

RegionForwarder::RegionForwarder(EventLoop &loop, HttpClient &client, const Settings &settings,
                                 Metrics &metrics, std::size_t maxResponseBytes)
    : loop(loop)
    , maxResponseBytes(maxResponseBytes)
    , requestBytesSent(metrics.counter(linkBytes, linkHelp,
                                       { { "cause", "request" }, { "direction", "sent" } }))
    , requestBytesReceived(metrics.counter(linkBytes, linkHelp,
                                           { { "cause", "request" }, { "direction", "received" } }))
    , uploadBytesSent(metrics.counter(linkBytes, linkHelp,
                                      { { "cause", "upload" }, { "direction", "sent" } }))
    , uploadBytesReceived(metrics.counter(linkBytes, linkHelp,
                                          { { "cause", "upload" }, { "direction", "received" } }))
{
    for (const RegionSettings &region : settings.regions) {
        std::vector<std::unique_ptr<Gateway>> gateways;
        for (const HostAddress &address : region.gateways) {
            gateways.push_back(std::make_unique<Gateway>(loop, client, address,
                                                         gatewaySilenceTimeout(settings)));
        }
        this->regions.push_back(std::move(gateways));
    }
}

RegionForwarder::~RegionForwarder()
{
    for (const auto &[id, request] : this->runningRequests) {
        request->call.reset();
        request->done = nullptr;
    }
}

void RegionForwarder::run(const RequestPtr &request, std::function<void(RequestEnd)> done)
{
    request->done = std::move(done);
    this->runningRequests.emplace(request->id, request);
    this->attemptCounts.emplace(request->id, 0);
    this->send(request);
}

void RegionForwarder::send(const RequestPtr &request)
{
    const auto &gateways = this->regions.at(request->target.region);
    std::size_t &attempts = this->attemptCounts.at(request->id);
    if (attempts >= gateways.size()) {
        this->end(request,
                  { request->progress.refuse(unavailable, "the home region cannot be reached"),
                    {},
                    {} });
        return;
    }
    ++attempts;
    Gateway &gateway = *gateways[this->nextGateway++ % gateways.size()];
    HttpRequest forwarded { request->method, request->path, request->headers,
                            std::string(request->exchange->body()) };
    HopHeaders::addForRegion(forwarded.headers, request->deadline, this->loop.now(),
                             request->trace);
    this->countBytes(*request, forwarded);
    request->currentStage = RequestStage::InFlight;
    EntryRequest *raw = request.get();
    request->call = gateway.pool.send(
            std::move(forwarded), this->maxResponseBytes,
            [this, raw](HttpResult result) {
                const RequestPtr stored = this->runningRequests.at(raw->id);
                this->onResult(stored, std::move(result));
            },
            [raw] {
                raw->progress.markWritten();
                return true;
            });
}

void RegionForwarder::onResult(const RequestPtr &request, HttpResult result)
{
    request->call.reset();
    request->currentStage = RequestStage::None;
    if (auto *response = std::get_if<HttpResponse>(&result)) {
        this->countBytes(*request, *response);
        this->onResponse(request, std::move(*response));
        return;
    }
    const auto &failure = std::get<HttpFailure>(result);
    request->progress.markResponseLost();
    if (!request->progress.mayHaveRun() || request->idempotent) {
        this->send(request);
        return;
    }
    this->end(request, { request->progress.refuse(badGateway, failure.reason), {}, {} });
}

// The entry host of the home region has decided the outcome; the caller gets the same.
void RegionForwarder::onResponse(const RequestPtr &request, HttpResponse response)
{
    const std::string_view outcome = HopHeaders::find(response.headers, "cassiaroad-outcome");
    const std::string reason = response.body.substr(0, response.body.find('\n'));
    if (outcome == "not-run") {
        request->progress.markRefusedByUpstream();
        this->end(request, { request->progress.refuse(response.status, reason), {}, {} });
        return;
    }
    if (outcome != "answered") {
        request->progress.markResponseLost();
        this->end(request, { OutcomeUnknown { response.status, reason }, {}, {} });
        return;
    }
    Headers extra;
    for (const auto &[name, value] : response.headers) {
        if (name == "cassiaroad-replayed" || name == "cassiaroad-answer-truncated") {
            extra.emplace_back(name, value);
        }
    }
    const int status = response.status;
    response.headers = HopHeaders::ofResponse(response.headers);
    this->end(request, { Answered { status }, std::move(response), std::move(extra) });
}

void RegionForwarder::end(const RequestPtr &request, RequestEnd end)
{
    request->call.reset();
    this->attemptCounts.erase(request->id);
    // The node keeps the request alive: @p request may refer to the entry of the map.
    const auto node = this->runningRequests.extract(request->id);
    const auto done = std::exchange(request->done, nullptr);
    done(std::move(end));
}

void RegionForwarder::stop(const RequestPtr &request, int status, const std::string &reason)
{
    if (this->runningRequests.contains(request->id)) {
        this->end(request, { request->progress.refuse(status, reason), {}, {} });
    }
}

void RegionForwarder::countBytes(const EntryRequest &request, const HttpRequest &sent)
{
    const auto size = static_cast<double>(sent.method.size() + sent.path.size()
                                          + sizeOf(sent.headers) + sent.body.size());
    (request.upload ? this->uploadBytesSent : this->requestBytesSent).Increment(size);
}

void RegionForwarder::countBytes(const EntryRequest &request, const HttpResponse &received)
{
    const auto size = static_cast<double>(sizeOf(received.headers) + received.body.size());
    (request.upload ? this->uploadBytesReceived : this->requestBytesReceived).Increment(size);
}

} // namespace cassiaroad
