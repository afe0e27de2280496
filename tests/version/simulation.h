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

enum class FaultKind {
    PauseEntry,
    RestartEntry,
    PauseUpstream,
    RestartUpstream, // the old process may go on for a while
    DrainUpstream, // announces that it leaves, or stops doing so
    ChangeLeader,
    CutEntry, // its messages to and from the leader are lost
    CutUpstream,
    FailingReports, // entry hosts report an upstream as failing
    Intent // an operator makes a plan and two operators confirm it
};

/** One fault: after `wait` ms, of a kind, at a host chosen by `target`, for `span` ms. */
struct Fault
{
    FaultKind kind;
    std::uint32_t wait;
    std::uint32_t target;
    std::uint32_t span;
};

/** One process of an upstream; a restart adds another process with the same name. */
struct FakeUpstream
{
    struct Run
    {
        std::string key;
        RouteSubject subject;
        Epoch epoch = 0;
        TimePoint until;
        std::uint64_t request = 0;
        bool tainted = false; // outside the promise for trusting upstreams
    };

    Upstream description;
    GrantSet grants;
    TimePoint leaseUntil;
    TimePoint pausedUntil;
    TimePoint cutUntil;
    TimePoint endsAt; // a replaced process ends then
    TimePoint nextAnnounce;
    std::vector<Run> runs;

    /** Whether it would start a request for @p key now under its grants and its lease. */
    std::optional<Grant> grantFor(const std::string &key, TimePoint now) const;
};

/** An entry host. */
struct FakeEntry
{
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
    TimePoint cutUntil;
    TimePoint nextWatch;
    CallId watchCall = 0;
    std::map<std::uint64_t, Request> inFlight;
};

/** One member of the control group. */
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
    bool leading = false;
    std::vector<ProposeCommand> proposals; // not yet committed
};

/**
 * A control group, entry hosts and upstreams at virtual time, with a network that delays and
 * loses messages. Records a violation of a promise as a sentence.
 */
class Simulation
{
public:
    Simulation(std::uint64_t seed, bool checking);

    /** Runs all faults, heals, and runs on until the system is quiet or a bound passes. */
    void run(const std::vector<Fault> &faults);

    const std::vector<std::string> &violations() const { return this->faultsFound; }
    std::uint64_t requestsRun() const { return this->runCount; }
    std::uint64_t movesCompleted() const;

private:
    struct Message
    {
        TimePoint at;
        std::size_t member;
        OwnershipEvent event;
    };
    struct Answer
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
    void changeLeader(std::uint32_t span);
    void elect();
    void commit();
    void catchUp(FakeMember &member, std::map<std::size_t, ProposalId> ids);
    void give(FakeMember &member, const OwnershipEvent &event);
    CallId call(OwnershipEvent event, Call call, bool cut);
    void deliverMessages();
    void deliverAnswers();
    bool heldBack(const OwnershipAction &action) const;
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
    void askForPlan(std::uint32_t choice);
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
    void violated(const std::string &text);
    std::uint32_t random(std::uint32_t bound) { return this->engine() % bound; }
    FakeMember &leader() { return *this->members[this->leaderIndex]; }

    std::mt19937_64 engine;
    bool checkingUpstreams;
    OwnershipConfig config;
    TimePoint now;
    std::vector<std::unique_ptr<FakeMember>> members;
    std::size_t leaderIndex = 0;
    std::optional<TimePoint> electionAt;
    std::optional<std::size_t> staleLeader; // does not know yet that it was replaced
    TimePoint staleUntil;
    std::vector<std::string> log;
    std::vector<FakeEntry> entries;
    std::vector<FakeUpstream> upstreams;
    std::deque<Message> messages;
    std::deque<Answer> answers;
    std::map<CallId, Call> calls;
    CallId lastCall = 0;
    std::uint64_t lastRequest = 0;
    std::uint64_t lastInstance = 0;
    std::uint64_t runCount = 0;
    bool calm = false;
    std::map<std::string, TimePoint> failingUntil;
    std::map<std::pair<RouteSubject, Epoch>, std::string> epochHolders;
    std::map<std::string, int> keyedRuns;
    std::map<PlanNumber, Revision> basisOf;
    std::map<Revision, ConfirmationId> winnerOf; // by basis
    std::map<ConfirmationId, Confirmation> acknowledged;
    std::vector<std::string> faultsFound;
};

} // namespace cassiaroad
