#pragma once

#include "cassiaroad/controlprocess.h"
#include "connection/rpcdelay.h"

#include <filesystem>
#include <functional>
#include <map>
#include <memory>

namespace cassiaroad {

/** Three members of one control group in one loop, on loopback, with temporary data folders. */
class ControlGroup
{
public:
    explicit ControlGroup(EventLoop &loop);
    ~ControlGroup();
    ControlGroup(const ControlGroup &) = delete;
    ControlGroup &operator=(const ControlGroup &) = delete;

    /** Starts a member; returns why it failed, or an empty text. */
    std::string start(std::uint32_t number, bool bootstrap = false);

    /** Starts all three and waits until all of them vote. */
    bool found();

    /** Ends a member at once, without a hand-over, as a crash does. */
    void kill(std::uint32_t number);

    /** Starts the stop of a member as SIGTERM does. */
    void stop(std::uint32_t number);
    bool isRunning(std::uint32_t number) const { return this->processes.contains(number); }

    void loseFolder(std::uint32_t number);
    std::filesystem::path folder(std::uint32_t number) const;

    /** Number of the member that may answer; 0: none. */
    std::uint32_t leader() const;
    const ControlEngine &engine(std::uint32_t number) const;

    /** Whether the leader's configuration has three voters. */
    bool hasThreeVoters() const;

    /** Runs the loop until @p condition holds; false after @p bound. */
    bool waitFor(const std::function<bool()> &condition, Milliseconds bound);

    const Settings &settings(std::uint32_t number) const { return this->allSettings.at(number); }
    std::vector<HostAddress> rpcAddresses() const;
    std::vector<HostAddress> operatorAddresses() const;

private:
    EventLoop &loop;
    std::filesystem::path root;
    std::map<std::uint32_t, Settings> allSettings;
    std::map<std::uint32_t, std::unique_ptr<ControlProcess>> processes;
};

} // namespace cassiaroad
