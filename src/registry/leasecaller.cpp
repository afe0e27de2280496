#include "registry/leasecaller.h"

#include <utility>

namespace cassiaroad {

namespace {

// Leases are renewed more often than that; other connections are left from repeated calls.
constexpr Milliseconds maxIdle { 4000 };
constexpr Milliseconds idleCheckInterval { 1000 };
constexpr std::size_t maxResponseBytes = std::size_t(64) * 1024;

std::string_view headerOf(const HttpResponse &response, const std::string &name)
{
    for (const auto &[header, value] : response.headers) {
        if (header == name) {
            return value;
        }
    }
    return {};
}

} // namespace

LeaseCaller::LeaseCaller(EventLoop &loop, const ExternalCodec &codec, std::function<bool()> mayCall,
                         std::function<void(const LeaseCall &, const LeaseCallResult &)> done)
    : loop(loop)
    , codec(codec)
    , mayCall(std::move(mayCall))
    , done(std::move(done))
    , client(loop)
    , idleTimer(loop.callEvery(idleCheckInterval,
                               [this] { this->client.closeIdleLongerThan(maxIdle); }))
{ }

HttpRequest LeaseCaller::buildRequest(const LeaseCall &call) const
{
    EncodedLeaseCall encoded = this->codec.encodeLeaseCall(call);
    HttpRequest request;
    request.method = std::move(encoded.method);
    request.path = std::move(encoded.path);
    request.headers = std::move(encoded.headers);
    request.body = std::move(encoded.body);
    request.deliveryTimeout = call.timeout;
    request.confirmsConnection = true;
    return request;
}

void LeaseCaller::send(const LeaseCall &call)
{
    const std::uint64_t number = call.number;
    const auto onResult
            = [this, number](const HttpResult &result) { this->end(number, this->decode(result)); };
    OpenCall &entry = this->open[number];
    entry.call = call;
    entry.timeout = this->loop.callAfter(call.timeout, [this, number] { this->onTimeout(number); });
    // A second copy of an earlier response on a kept connection must not be taken for the end of
    // the requests in progress.
    entry.http
            = std::holds_alternative<ReleaseCall>(call.body)
                      ? this->client.sendOnNewConnection(call.address, this->buildRequest(call),
                                                         maxResponseBytes, onResult)
                      : this->client.send(call.address, this->buildRequest(call), maxResponseBytes,
                                          onResult, [this](const ConnectionState &) {
                                              return this->mayCall()
                                                             ? WriteDecision::Write
                                                             : WriteDecision::CloseConnection;
                                          });
}

LeaseCallResult LeaseCaller::decode(const HttpResult &result) const
{
    if (const auto *response = std::get_if<HttpResponse>(&result)) {
        return this->codec.decodeLeaseCallResponse(
                response->status, headerOf(*response, this->codec.headers().handover));
    }
    const HttpFailure::Stage stage = std::get<HttpFailure>(result).stage;
    const bool notSent = stage == HttpFailure::Stage::Connect
                         || stage == HttpFailure::Stage::Refused
                         || stage == HttpFailure::Stage::Cancelled;
    return notSent ? LeaseCallResult(LeaseCallNotSent {}) : LeaseCallResult(LeaseCallBroken {});
}

void LeaseCaller::onTimeout(std::uint64_t number)
{
    const auto found = this->open.find(number);
    const bool isSent = found->second.http->isSent();
    this->end(number, isSent ? LeaseCallResult(LeaseCallTimedOut {})
                             : LeaseCallResult(LeaseCallNotSent {}));
}

void LeaseCaller::end(std::uint64_t number, const LeaseCallResult &result)
{
    const auto found = this->open.find(number);
    const OpenCall ended = std::move(found->second);
    this->open.erase(found);
    this->done(ended.call, result);
}

void LeaseCaller::cancelAll()
{
    this->open.clear();
    this->client.closeIdleLongerThan({});
}

} // namespace cassiaroad
