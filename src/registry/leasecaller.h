#pragma once

#include "connection/httpclient.h"
#include "version/externalcodec.h"

#include <map>

namespace cassiaroad {

/**
 * Sends lease calls to upstreams and reports how each one ended. Grants use connections that are
 * kept open, because an upstream that is full resets new ones. Loop thread only.
 */
class LeaseCaller
{
public:
    /**
     * The arguments must outlive the caller. @p mayCall is asked when the first byte of a call is
     * about to be written. @p done is called once for each call, except after cancelAll(), and
     * never before send() returns.
     */
    LeaseCaller(EventLoop &loop, const ExternalCodec &codec, std::function<bool()> mayCall,
                std::function<void(const LeaseCall &, const LeaseCallResult &)> done);

    void send(const LeaseCall &call);

    /** Cancels all calls and resets their connections, when this host no longer leads. */
    void cancelAll();

private:
    /** A call without a result. */
    struct OpenCall
    {
        LeaseCall call;
        std::unique_ptr<HttpClient::Call> http;
        EventLoop::Timer timeout;
    };

    HttpRequest buildRequest(const LeaseCall &call) const;
    LeaseCallResult decode(const HttpResult &result) const;
    void onTimeout(std::uint64_t number);
    void end(std::uint64_t number, const LeaseCallResult &result);

    EventLoop &loop;
    const ExternalCodec &codec;
    std::function<bool()> mayCall;
    std::function<void(const LeaseCall &, const LeaseCallResult &)> done;
    HttpClient client;
    std::map<std::uint64_t, OpenCall> open; // by number
    EventLoop::Timer idleTimer;
};

} // namespace cassiaroad
