#include "connection/rpcdelay.h"

namespace cassiaroad {

namespace {

/** Fulfills a promise when a timer of the event loop expires. */
class DelayAdapter
{
public:
    DelayAdapter(kj::PromiseFulfiller<void> &fulfiller, EventLoop &loop, Milliseconds delay)
        : timer(loop.callAfter(delay, [&fulfiller] { fulfiller.fulfill(); }))
    { }

private:
    EventLoop::Timer timer;
};

} // namespace

kj::Promise<void> rpcDelay(EventLoop &loop, Milliseconds delay)
{
    return kj::newAdaptedPromise<void, DelayAdapter>(loop, delay);
}

} // namespace cassiaroad
