#pragma once

#include "cassiaroad/memberservice.h"
#include "cassiaroad/operatorservice.h"
#include "connection/rpcserver.h"

#include <functional>
#include <string>

namespace cassiaroad {

/** One member of a control group: its engine and its listeners. Loop thread only. */
class ControlProcess
{
public:
    /**
     * @p settings must have the role control and outlive the process. @p ended is called once, with
     * an empty text after stop(), or with the reason of a failure that ends the process.
     */
    ControlProcess(EventLoop &loop, const Settings &settings,
                   std::function<void(const std::string &reason)> ended);
    ~ControlProcess();
    ControlProcess(const ControlProcess &) = delete;
    ControlProcess &operator=(const ControlProcess &) = delete;

    /** Listens and opens the data folder. Returns an empty text, or why it failed. */
    std::string start(bool bootstrap);

    /** Transfers leadership to another member and ends; without a successor after a fixed time. */
    void stop();

    const ControlEngine &controlEngine() const { return this->engine; }

private:
    void waitForSuccessor();
    void finish(const std::string &reason);

    EventLoop &loop;
    const Settings &settings;
    std::function<void(const std::string &)> ended;
    Metrics metrics;
    ControlEngine engine;
    RpcServer rpcServer;
    OperatorService operatorService;
    TimePoint stopDeadline;
    EventLoop::Timer stopTimer;
    EventLoop::Timer endTimer;
};

/** Runs `cassiaroad control` until SIGTERM or SIGINT and returns the exit status. */
int runControlProcess(const Settings &settings, bool bootstrap);

} // namespace cassiaroad
