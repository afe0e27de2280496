#pragma once

#include "process/workmeter.h"

#include <functional>
#include <memory>

#include <kj/async.h>
#include <kj/timer.h>

typedef struct st_h2o_evloop_t h2o_evloop_t;

namespace cassiaroad {

/**
 * The event loop of a process: h2o's event loop with the kj event queue of Cap'n Proto on top.
 * Timers use the monotonic clock; h2o's own timers use the wall clock and serve only for coarse I/O
 * timeouts inside h2o.
 */
class EventLoop
{
public:
    /** A scheduled call. Destroying it cancels the call. */
    class Timer
    {
    public:
        Timer() = default;

    private:
        friend class EventLoop;
        struct State;
        explicit Timer(std::shared_ptr<State> state);
        std::shared_ptr<State> state;
    };

    /** Creates the loop. Precondition: the thread has no other EventLoop. */
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Returns h2o's loop, which lives as long as this object. Loop thread only. */
    h2o_evloop_t *h2oLoop() const;

    /** Returns the monotonic time. Loop thread only. */
    TimePoint now() const;

    /** Calls @p callback once after @p delay unless the timer is destroyed. Loop thread only. */
    [[nodiscard]] Timer callAfter(Milliseconds delay, std::function<void()> callback);

    /** Calls @p callback each @p period until the timer is destroyed. Loop thread only. */
    [[nodiscard]] Timer callEvery(Milliseconds period, std::function<void()> callback);

    /** Runs until stop() is called. Precondition: not running. Loop thread only. */
    void run();

    /** Runs until @p promise is resolved and returns its value; rethrows its exception. */
    template <typename T>
    T wait(kj::Promise<T> promise)
    {
        return promise.wait(this->waitScope());
    }

    /** Makes run() return after the current iteration. Loop thread only. */
    void stop();

    /** Calls @p handler in the loop when @p signal arrives (SIGTERM, SIGINT). Loop thread only. */
    void onSignal(int signal, std::function<void()> handler);

    kj::WaitScope &waitScope();

    /** Measures how this loop spends its time. Loop thread only. */
    WorkMeter &workMeter();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace cassiaroad
