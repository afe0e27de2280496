#pragma once

#include "process/eventloop.h"

namespace cassiaroad {

/** Resolves after @p delay on the monotonic clock; dropping the promise cancels it. Loop thread
 * only. */
kj::Promise<void> rpcDelay(EventLoop &loop, Milliseconds delay);

} // namespace cassiaroad
