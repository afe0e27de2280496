#include "process/eventloop.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <map>
#include <vector>

#include <sys/signalfd.h>
#include <unistd.h>

#include <h2o.h>

namespace cassiaroad {

namespace {

// Maximum sleep of the loop while no timer is due. Only h2o's own housekeeping depends on it.
constexpr std::int64_t maxSleepMilliseconds = 1000;
// Number of promise callbacks after which the loop polls for I/O again, so that a long chain of
// callbacks does not starve I/O.
constexpr std::uint32_t busyPollInterval = 64;

} // namespace

struct EventLoop::Timer::State
{
    std::function<void()> callback;
    Milliseconds period; // 0: fires once
};

EventLoop::Timer::Timer(std::shared_ptr<State> state)
    : state(std::move(state))
{ }

struct EventLoop::Private : public kj::EventPort
{
    using TimerQueue = std::multimap<TimePoint, std::weak_ptr<Timer::State>>;

    Private()
        : h2oLoop(h2o_evloop_create())
        , kjLoop(*this)
        , scope(kjLoop)
    {
        this->scope.setBusyPollInterval(busyPollInterval);
        h2o_timeout_init(this->h2oLoop, &this->zeroTimeout, 0);
        this->emptyTimer.cb = [](h2o_timeout_entry_t *) {};
    }

    bool wait() override
    {
        this->runOnce(this->timeToNextTimer());
        return false;
    }

    bool poll() override
    {
        this->runOnce(0);
        return false;
    }

    void runOnce(std::int64_t maxWait)
    {
        this->meter.beginIteration();
        // Promise callbacks may be ready now, so the loop must not sleep after callbacks of h2o.
        const bool hadCallbacks = this->runCallbacks();
        const std::int64_t pollStart = Clock::wallMilliseconds();
        h2o_evloop_run(this->h2oLoop, hadCallbacks ? 0 : static_cast<std::int32_t>(maxWait));
        // h2o reads the wall clock when its poll returns, before it runs the callbacks.
        const std::int64_t pollEnd = static_cast<std::int64_t>(h2o_now(this->h2oLoop));
        this->meter.recordWait({ std::clamp<std::int64_t>(pollEnd - pollStart, 0, maxWait) });
        this->fireTimers();
    }

    // Runs callbacks of h2o that became due outside h2o_evloop_run, such as the completion of a
    // write in a timer; returns whether there were any. If they were left to h2o_evloop_run, it
    // would poll the socket of a write that is complete but not reported yet until it is writable,
    // and abort the process when it is.
    bool runCallbacks()
    {
        if (this->h2oLoop->_pending_as_client == nullptr
            && this->h2oLoop->_pending_as_server == nullptr) {
            return false;
        }
        // h2o has no function that only runs due callbacks, but runs them after each of its timers.
        h2o_timeout_link(this->h2oLoop, &this->zeroTimeout, &this->emptyTimer);
        h2o_timeout_run(this->h2oLoop, &this->zeroTimeout, h2o_now(this->h2oLoop));
        return true;
    }

    std::int64_t timeToNextTimer()
    {
        while (!this->timers.empty() && this->timers.begin()->second.expired()) {
            this->timers.erase(this->timers.begin());
        }
        if (this->timers.empty()) {
            return maxSleepMilliseconds;
        }
        const std::int64_t wait = (this->timers.begin()->first - Clock::now()).count;
        return std::clamp<std::int64_t>(wait, 0, maxSleepMilliseconds);
    }

    void fireTimers()
    {
        const TimePoint now = Clock::now();
        while (!this->timers.empty() && this->timers.begin()->first <= now) {
            const std::shared_ptr<Timer::State> state = this->timers.begin()->second.lock();
            this->timers.erase(this->timers.begin());
            if (!state) {
                continue;
            }
            if (state->period.count > 0) {
                this->timers.emplace(now + state->period, state);
            }
            state->callback();
        }
    }

    static void onSignalReadable(h2o_socket_t *socket, const char *error);

    WorkMeter meter;
    h2o_evloop_t *h2oLoop;
    h2o_timeout_t zeroTimeout {};
    h2o_timeout_entry_t emptyTimer {};
    TimerQueue timers;
    kj::EventLoop kjLoop;
    kj::WaitScope scope;
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> stopFulfiller;
    std::map<int, std::function<void()>> signalHandlers;
};

void EventLoop::Private::onSignalReadable(h2o_socket_t *socket, const char *error)
{
    auto *d = static_cast<Private *>(socket->data);
    signalfd_siginfo info {};
    if (error != nullptr || read(h2o_socket_get_fd(socket), &info, sizeof(info)) != sizeof(info)) {
        return;
    }
    const auto handler = d->signalHandlers.find(static_cast<int>(info.ssi_signo));
    if (handler != d->signalHandlers.end()) {
        handler->second();
    }
}

EventLoop::EventLoop()
    : d(std::make_unique<Private>())
{
    signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() = default;

h2o_evloop_t *EventLoop::h2oLoop() const
{
    return this->d->h2oLoop;
}

TimePoint EventLoop::now() const
{
    return Clock::now();
}

EventLoop::Timer EventLoop::callAfter(Milliseconds delay, std::function<void()> callback)
{
    auto state = std::make_shared<Timer::State>(Timer::State { std::move(callback), {} });
    this->d->timers.emplace(Clock::now() + delay, state);
    return Timer(std::move(state));
}

EventLoop::Timer EventLoop::callEvery(Milliseconds period, std::function<void()> callback)
{
    auto state = std::make_shared<Timer::State>(Timer::State { std::move(callback), period });
    this->d->timers.emplace(Clock::now() + period, state);
    return Timer(std::move(state));
}

void EventLoop::run()
{
    auto promiseAndFulfiller = kj::newPromiseAndFulfiller<void>();
    this->d->stopFulfiller = kj::mv(promiseAndFulfiller.fulfiller);
    promiseAndFulfiller.promise.wait(this->d->scope);
    this->d->stopFulfiller = nullptr;
}

void EventLoop::stop()
{
    KJ_IF_MAYBE (fulfiller, this->d->stopFulfiller) {
        (*fulfiller)->fulfill();
    }
}

void EventLoop::onSignal(int signal, std::function<void()> handler)
{
    this->d->signalHandlers[signal] = std::move(handler);
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, signal);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    const int fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    h2o_socket_t *socket
            = h2o_evloop_socket_create(this->d->h2oLoop, fd, H2O_SOCKET_FLAG_DONT_READ);
    socket->data = this->d.get();
    h2o_socket_read_start(socket, &Private::onSignalReadable);
}

kj::WaitScope &EventLoop::waitScope()
{
    return this->d->scope;
}

WorkMeter &EventLoop::workMeter()
{
    return this->d->meter;
}

} // namespace cassiaroad
