#pragma once

#include "process/eventloop.h"

namespace cassiaroad {

/**
 * Returns a promise that resolves after @p delay on the monotonic clock. Destroying the promise
 * cancels the delay. Loop thread only.
 */
kj::Promise<void> rpcDelay(EventLoop &loop, Milliseconds delay);

} // namespace cassiaroad
