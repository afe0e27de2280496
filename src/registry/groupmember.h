#pragma once

#include "cassiaroad/replicadriver.h"
#include "process/eventlog.h"
#include "process/sitesettings.h"
#include "registry/groupsearch.h"
#include "registry/lostcontact.h"
#include "registry/slotcalls.h"
#include "version/memberlist.h"

#include <map>

namespace cassiaroad {

/**
 * Membership of a control host in its group: searches for the group or bootstraps it, stores the
 * addresses of the members, and runs the replica once the host has a slot. Loop thread only.
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

    /**
     * Starts the replica if the data folder belongs to a member, and otherwise the search for the
     * group. Returns an empty text, or why it failed.
     */
    std::string start();

    /** See ReplicaDriver::propose(); a host without a slot fails the proposal. */
    void propose(std::uint64_t proposal, std::string command);

    /** Handles a message from the member in slot @p from, which the host at @p ip has sent. */
    void receive(std::uint32_t from, const std::string &ip, std::string_view message);

    /** Handles the call of a member; without effect unless this host searches for the group. */
    void onMemberCall(const MemberCall &call) { this->search.onCall(call); }

    /**
     * Sets the addresses of the members that the replicated state contains. An older list than the
     * known one is ignored: a member that starts restores its last snapshot, and the members may
     * have changed since.
     */
    void setMembers(const MemberList &list);
    /** Sets the seeds after a change of the settings. */
    void setSeeds(const std::vector<HostAddress> &seeds);
    /** Transfers leadership to another member, if this host is the leader. */
    void stepDown();

    /** Whether this host is the leader and has applied every command of earlier terms. */
    bool isLeader() const { return this->driver && this->driver->isLeading(); }
    /** Whether this host is a voter by its own log. */
    bool isVoter() const;
    std::size_t voterCount() const;
    /** Whether this host has the leader lease: no other member can be leader now. */
    bool hasLease() const { return this->driver && this->driver->hasLeaderLease(); }
    Term term() const;
    /**
     * Whether there are so many voters that a majority of them outlasts the tolerated losses, i.e.
     * that at least one member of it remains.
     */
    bool hasEnoughVoters() const;
    /** Ip address of the leader; empty if unknown. */
    std::string leaderIp() const;
    /** What this host knows of the group, for a reply to another host. */
    GroupHint hint() const;
    /**
     * Returns the slot to assign to the host at @p ip: the one that it has, an unused one, or that
     * of the member that has been silent for the longest and for too long. Returns nothing
     * otherwise. Precondition: isLeader().
     */
    std::optional<std::uint32_t> slotFor(const std::string &ip) const;
    /** Begins a term as leader: the silence of the members counts from now. */
    void startTerm();

private:
    std::string startReplica(const StartMember &start);
    void searchGroup();
    void onHint(const GroupHint &hint);
    void join(const StartMember &start);
    void callSilentSlots();
    void askForMembers();
    void callOnce(const std::string &ip, const std::string &request,
                  std::function<void(const GroupHint &)> onHint);
    void scheduleSearch();
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
    std::uint64_t membersRevision = 0; // of `members`, see MemberList
    std::map<std::uint32_t, TimePoint> lastContact; // last message by slot
    std::string reportedLeader; // ip that other hosts reported while this host has no slot
    std::optional<Settings> memberSettings; // outlives the driver
    std::unique_ptr<ReplicaDriver> driver;
    GroupSearch search;
    SlotCalls slotCalls;
    LostContact lostContact;
    EventLoop::Timer slotTimer;
    EventLoop::Timer restartTimer;
    kj::TaskSet tasks;
};

} // namespace cassiaroad
