#pragma once

#include "connection/httpclient.h"

namespace cassiaroad {

/**
 * Sends @p request and runs @p loop until there is a result or @p timeout has passed. For commands,
 * which do nothing else meanwhile. Loop thread only. Precondition: @p client uses @p loop.
 */
HttpResult sendAndWait(EventLoop &loop, HttpClient &client, const HostAddress &server,
                       const HttpRequest &request, std::size_t maxResponseBytes,
                       Milliseconds timeout);

} // namespace cassiaroad
