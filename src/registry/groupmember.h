#pragma once

#include "cassiaroad/replicadriver.h"
#include "process/eventlog.h"
#include "process/sitesettings.h"
#include "registry/slotfinder.h"

#include <map>

namespace cassiaroad {

/**
 * Part of a control host in its group: finds the group or founds it, keeps the addresses of the
 * members, and runs the replica once the host has a slot. Loop thread only.
 */
class GroupMember : private kj::TaskSet::ErrorHandler
{
public:
    /** The arguments must outlive the object. @p handlers need no `folderDropped`. */
    GroupMember(EventLoop &loop, const SiteSettings &settings, Metrics &metrics, EventLog &log,
                ReplicaHandlers handlers);
    ~GroupMember();
    GroupMember(const GroupMember &) = delete;
    GroupMember &operator=(const GroupMember &) = delete;

    /** Opens the data folder, or begins to look for the group. Returns why it failed, or "". */
    std::string start();

    /** See ReplicaDriver::propose(); a host without a slot fails the proposal. */
    void propose(std::uint64_t proposal, std::string command);

    /** Takes a message of the member in slot @p from. */
    void receive(std::uint32_t from, std::string_view message);

    /** Takes the members that the replicated state names. */
    void setMembers(const std::map<std::uint32_t, std::string> &ips);
    void setSeeds(const std::vector<HostAddress> &seeds);
    void stepDown();

    bool leads() const { return this->driver && this->driver->isLeading(); }
    bool hasLease() const { return this->driver && this->driver->hasLeaderLease(); }
    Term term() const;
    /** Whether enough hosts vote for a majority to outlast the tolerated losses. */
    bool isComplete() const;
    /** Address of the leader; empty if unknown. */
    std::string leaderIp() const;
    /** What this host tells others of the group. */
    GroupHint hint() const;
    /** The slot to offer to the host at @p ip, if there is one. Precondition: leads(). */
    std::optional<std::uint32_t> slotFor(const std::string &ip) const;
    /** Notes the beginning of a term as leader. */
    void startTerm();

private:
    std::string startReplica(const StartMember &start);
    void look();
    void ask(const std::string &ip);
    void onHint(const std::string &ip, const GroupHint &hint);
    void lookAgain();
    Settings replicaSettings(std::uint32_t slot) const;
    std::string logFolder() const;
    void connect();
    void saveMembers();
    void loadMembers();
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop;
    const SiteSettings &settings;
    const RegistrySettings &role;
    Metrics &metrics;
    EventLog &log;
    ReplicaHandlers handlers;
    std::shared_ptr<ByteCounters> bytes;
    std::vector<std::string> seedIps;
    std::map<std::uint32_t, std::string> members; // ip by slot
    std::map<std::uint32_t, TimePoint> heardOf; // by slot
    std::string toldLeader; // as told while this host has no slot
    std::optional<Settings> memberSettings; // outlives the driver
    std::unique_ptr<ReplicaDriver> driver;
    std::unique_ptr<SlotFinder> finder;
    std::map<std::string, std::unique_ptr<RpcConnection>> asked; // by ip
    EventLoop::Timer searchTimer;
    EventLoop::Timer restartTimer;
    kj::TaskSet tasks;
};

} // namespace cassiaroad
