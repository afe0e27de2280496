#pragma once

#include "version/ownershipmanager.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cassiaroad {

/** Kinds of faults that the simulation injects. */
enum class FaultKind {
    PauseEntry,
    RestartEntry,
    PauseUpstream,
    RestartUpstream, // the old process may still run for a while
    DrainUpstream, // the upstream starts or stops draining
    ChangeLeader,
    PartitionEntry, // the entry host and the leader get no messages from each other
    PartitionUpstream, // the same for an upstream
    FailingReports, // entry hosts report an upstream as failing
    Intent // an operator requests a plan and two operators confirm it
};

/** A fault that is injected `wait` ms after the one before, at host `target`, for `period` ms. */
struct Fault
{
    FaultKind kind;
    std::uint32_t wait;
    std::uint32_t target;
    std::uint32_t period;
};

/** A process of an upstream. A restart adds another process with the same name. */
struct FakeUpstream
{
    /** A request that the upstream executes. */
    struct Run
    {
        std::string key;
        RouteSubject subject;
        Epoch epoch = 0;
        TimePoint until;
        std::uint64_t request = 0;
        bool isExempt = false; // not guaranteed to be exclusive if upstreams do not check grants
    };

    Upstream description;
    GrantSet grants;
    TimePoint leaseUntil;
    TimePoint pausedUntil;
    TimePoint partitionedUntil;
    TimePoint endsAt; // when a replaced process ends
    TimePoint nextAnnounce;
    std::vector<Run> runs;

    /** Returns the grant under which it would start a request for @p key at @p now, if any. */
    std::optional<Grant> grantFor(const std::string &key, TimePoint now) const;
};

/** An entry host that follows the rules of the protocol. */
struct FakeEntry
{
    /** A request in flight at an upstream. */
    struct Request
    {
        std::string key;
        std::string upstream;
        std::string instance;
    };

    EntryHostId id;
    std::shared_ptr<const RouteTable> table = std::make_shared<RouteTable>();
    Revision drained = 0;
    TimePoint leaseUntil;
    TimePoint pausedUntil;
    TimePoint partitionedUntil;
    TimePoint nextWatch;
    CallId watchCall = 0;
    std::map<std::uint64_t, Request> inFlight;
};

/** A member of the control group. */
struct FakeMember
{
    explicit FakeMember(const OwnershipConfig &config)
        : state(std::make_unique<ControlState>())
        , manager(std::make_unique<OwnershipManager>(*this->state, config))
    { }

    std::unique_ptr<ControlState> state;
    std::unique_ptr<OwnershipManager> manager;
    std::size_t applied = 0;
    TimePoint leaderLeaseUntil;
    bool isLeader = false;
    std::vector<ProposeCommand> proposals; // not yet committed
};

/**
 * A control group, entry hosts and upstreams at virtual time, with a network that delays and drops
 * messages. Each violation of a guarantee is recorded as a text.
 */
class Simulation
{
public:
    /** @p checkGrants says whether the upstreams check grants before they run a request. */
    Simulation(std::uint64_t seed, bool checkGrants);

    /**
     * Injects all faults, then runs without faults until the system must have settled, or until a
     * violation is found, and checks the final state.
     */
    void run(const std::vector<Fault> &faults);

    const std::vector<std::string> &violations() const { return this->violationsFound; }
    std::uint64_t requestsRun() const { return this->runCount; }
    std::uint64_t movesCompleted() const;

private:
    struct Message
    {
        TimePoint at;
        std::size_t member;
        OwnershipEvent event;
    };
    struct PendingReply
    {
        TimePoint at;
        OwnershipAction action;
    };
    struct Call
    {
        std::string process; // instance of the calling upstream, entry host or operator
        TimePoint sent;
        LedgerKey key; // of a begin call
        std::uint64_t heldGrants = 0;
    };

    void step();
    void inject(const Fault &fault);
    void changeLeader(std::uint32_t period);
    void elect();
    void commit();
    void applyLog(FakeMember &member, std::map<std::size_t, ProposalId> ids);

    /** Passes an event to a member and queues its proposals and replies. */
    void handleEvent(FakeMember &member, const OwnershipEvent &event);

    /** Sends a call to a member; it is dropped if @p isPartitioned or at random. */
    CallId call(OwnershipEvent event, Call call, bool isPartitioned);
    void deliverMessages();
    void deliverReplies();

    /** Whether the caller that a reply goes to is paused or partitioned. */
    bool isBlocked(const OwnershipAction &action) const;
    FakeEntry *entryOf(const Call &call);
    FakeUpstream *upstreamOf(const Call &call);
    void stepEntry(FakeEntry &entry);
    void stepUpstream(FakeUpstream &upstream);
    void watch(FakeEntry &entry);
    void announce(FakeUpstream &upstream);
    void routeRequest(FakeEntry &entry);
    void keyedRequest(FakeEntry &entry);
    void reviewInFlight(FakeEntry &entry);
    void endRun(std::uint64_t request);
    void requestPlan(std::uint32_t choice);
    void onReply(const ReplyWatch &reply, const Call &call);
    void onReply(const ReplyAnnounce &reply, const Call &call);
    void onReply(const ReplyBegin &reply, const Call &call);
    void onReply(const ReplyPlan &reply, const Call &call);
    void onReply(const ReplyConfirm &reply, const Call &call);
    template <typename Other>
    void onReply(const Other &, const Call &)
    { }
    void check();
    void checkOwners(const std::string &key);
    void checkRuns();
    void checkConfirmations();
    void checkSettled();
    void addViolation(const std::string &text);
    std::uint32_t random(std::uint32_t bound) { return this->engine() % bound; }
    FakeMember &leader() { return *this->members[this->leaderIndex]; }

    std::mt19937_64 engine;
    bool upstreamsCheckGrants;
    OwnershipConfig config;
    TimePoint now;
    std::vector<std::unique_ptr<FakeMember>> members;
    std::size_t leaderIndex = 0;
    std::optional<TimePoint> electionAt;
    std::optional<std::size_t> staleLeader; // was replaced and is not yet aware of it
    TimePoint staleUntil;
    std::vector<std::string> log;
    std::vector<FakeEntry> entries;
    std::vector<FakeUpstream> upstreams;
    std::deque<Message> messages;
    std::deque<PendingReply> pendingReplies;
    std::map<CallId, Call> calls;
    CallId lastCall = 0;
    std::uint64_t lastRequest = 0;
    std::uint64_t lastInstance = 0;
    std::uint64_t runCount = 0;
    bool healed = false; // faults and message losses have ended
    std::map<std::string, TimePoint> failingUntil;
    std::map<std::pair<RouteSubject, Epoch>, std::string> epochOwners; // instances
    std::map<std::string, int> keyedRuns; // by idempotency key
    std::map<PlanNumber, Revision> basisOf; // plans
    std::map<Revision, ConfirmationId> winnerOf; // by basis
    std::map<ConfirmationId, Confirmation> acknowledged; // results that operators received
    std::vector<std::string> violationsFound;
};

} // namespace cassiaroad
