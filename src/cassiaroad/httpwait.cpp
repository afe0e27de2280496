#include "cassiaroad/httpwait.h"

#include "connection/rpcdelay.h"

namespace cassiaroad {

HttpResult sendAndWait(EventLoop &loop, HttpClient &client, const HostAddress &server,
                       const HttpRequest &request, std::size_t maxResponseBytes,
                       Milliseconds timeout)
{
    auto paf = kj::newPromiseAndFulfiller<HttpResult>();
    const auto call = client.send(server, request, maxResponseBytes,
                                  [&fulfiller = *paf.fulfiller](HttpResult result) {
                                      fulfiller.fulfill(std::move(result));
                                  });
    auto timedOut = rpcDelay(loop, timeout).then([]() -> HttpResult {
        return HttpFailure { HttpFailure::Stage::Sent, "no answer in time" };
    });
    return loop.wait(paf.promise.exclusiveJoin(kj::mv(timedOut)));
}

} // namespace cassiaroad
