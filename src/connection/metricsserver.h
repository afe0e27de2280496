#pragma once

#include "connection/httpserver.h"
#include "process/metrics.h"

namespace cassiaroad {

/** Serves the metrics of the process at /metrics. Loop thread only. */
class MetricsServer
{
public:
    /** @p update brings gauges up to date before they are read. The arguments must outlive it. */
    MetricsServer(EventLoop &loop, const Metrics &metrics, std::function<void()> update);

    /** Returns an empty text, or why it failed. */
    std::string listen(const HostAddress &address) { return this->server.listen(address); }

private:
    HttpServer server;
};

} // namespace cassiaroad
