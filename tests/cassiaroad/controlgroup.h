#pragma once

#include "cassiaroad/controlprocess.h"
#include "connection/rpcdelay.h"

#include <filesystem>
#include <functional>
#include <map>
#include <memory>

namespace cassiaroad {

/**
 * Three members of one control group in one event loop, on loopback, with temporary data folders.
 */
class ControlGroup
{
public:
    explicit ControlGroup(EventLoop &loop);
    ~ControlGroup();
    ControlGroup(const ControlGroup &) = delete;
    ControlGroup &operator=(const ControlGroup &) = delete;

    /** Starts a member; returns why it failed, or an empty text. */
    std::string start(std::uint32_t number, bool bootstrap = false);

    /** Bootstraps the group with all three members and waits until all of them are voters. */
    bool bootstrapGroup();

    /** Ends a member at once, without a transfer of leadership, as a crash does. */
    void kill(std::uint32_t number);

    /** Begins to stop a member, as SIGTERM does. */
    void stop(std::uint32_t number);
    bool isRunning(std::uint32_t number) const { return this->processes.contains(number); }

    /** Deletes the data folder of a member that is not running. */
    void loseFolder(std::uint32_t number);
    std::filesystem::path folder(std::uint32_t number) const;

    /** Number of the leader, if it can answer calls; otherwise 0. */
    std::uint32_t leader() const;
    const ControlEngine &engine(std::uint32_t number) const;

    /** Whether the leader's configuration has three voters. */
    bool hasThreeVoters() const;

    /** Runs the loop until @p condition holds; false after @p timeout. */
    bool waitFor(const std::function<bool()> &condition, Milliseconds timeout);

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
