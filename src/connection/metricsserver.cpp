#include "connection/metricsserver.h"

namespace cassiaroad {

MetricsServer::MetricsServer(EventLoop &loop, const Metrics &metrics, std::function<void()> update)
    : server(
            loop, HttpServerLimits::withoutBodies(),
            [&metrics, update = std::move(update)](const std::shared_ptr<HttpExchange> &exchange) {
                if (exchange->path() != "/metrics") {
                    exchange->answer(404, {}, {});
                    return;
                }
                update();
                exchange->answer(200, { { "content-type", Metrics::contentType } }, metrics.text());
            })
{ }

} // namespace cassiaroad
