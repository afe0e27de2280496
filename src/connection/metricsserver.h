#pragma once

#include "connection/httpserver.h"
#include "process/metrics.h"

namespace cassiaroad {

/** HTTP server that serves the metrics of the process at /metrics. Loop thread only. */
class MetricsServer
{
public:
    /**
     * @p update is called before each read, to bring the gauges up to date. The arguments must
     * outlive the server.
     */
    MetricsServer(EventLoop &loop, const Metrics &metrics, std::function<void()> update);

    /** Binds and listens. Returns an empty text, or an error message. */
    std::string listen(const HostAddress &address) { return this->server.listen(address); }

private:
    HttpServer server;
};

} // namespace cassiaroad
