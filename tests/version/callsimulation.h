#pragma once

#include "foreigncalls.h"
#include "leasesimulation.h"

namespace cassiaroad {

// The simulation of a leader and upstreams that take their leases by calls.

inline constexpr int upstreamCount = 5;
inline constexpr std::int64_t callTimeout = 600;

/** A simulated upstream that takes its leases by calls. Its clock runs 2% slow. */
struct CalledUpstream
{
    UpstreamIncarnation incarnation;
    HostAddress address;
    std::uint64_t sequence = 0;
    std::int64_t nextHeartbeat = 0;
    LeasedRanges leased;
    std::vector<std::pair<KeyRange, FencingToken>> seen; // by which it refuses lower tokens
    std::int64_t frozenUntil = 0;
    bool up = true;
    bool draining = false;
};

/** A call that has arrived, or will. */
struct CallInTransit
{
    LeaseCall call;
    std::int64_t arrivesAt = 0;
    std::int64_t appliedAt = 0;
    std::int64_t respondsAt = 0; // no response if it is 0
    UpstreamIncarnation receiver; // the process at the address when the call was sent
};

/** A result on its way to the leader that sent the call. */
struct ResultInTransit
{
    std::uint64_t number = 0;
    int leader = 0;
    std::int64_t arrivesAt = 0;
    LeaseCallResult result;
    UpstreamIncarnation receiver;
};

enum class CallFaultKind { Freeze, Crash, Restart, NewLeader, ApplyLate, Drain, WorkLong };

struct CallFault
{
    CallFaultKind kind = CallFaultKind::Freeze;
    int wait = 0; // steps since the previous fault
    int target = 0; // number of the upstream
    int duration = 0; // steps
};

inline void showValue(const CallFault &fault, std::ostream &out)
{
    out << "{kind " << static_cast<int>(fault.kind) << ", wait " << fault.wait << ", target "
        << fault.target << ", duration " << fault.duration << "}";
}

/** A leader, upstreams that it calls, and the calls between them, in virtual time. */
class CallSimulation
{
public:
    /** Commands are committed @p commitSteps after they were proposed. */
    explicit CallSimulation(int commitSteps = 0)
        : pending(commitSteps * simulationStep)
    {
        this->newLeader();
        for (int i = 0; i < upstreamCount; ++i) {
            CalledUpstream upstream;
            upstream.incarnation = { "i-" + std::to_string(i), 1 };
            upstream.address = { "10.0.0." + std::to_string(i + 1), 80 };
            upstream.nextHeartbeat = i * simulatedHeartbeatInterval / upstreamCount;
            this->upstreams.push_back(upstream);
        }
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            this->now += simulationStep;
            this->stepOnce();
        }
    }

    void apply(const CallFault &fault)
    {
        this->run(fault.wait);
        CalledUpstream &target = this->upstreams[static_cast<std::size_t>(fault.target)];
        switch (fault.kind) {
        case CallFaultKind::Freeze:
            target.frozenUntil = this->now + fault.duration * simulationStep;
            break;
        case CallFaultKind::Crash:
            target.up = false;
            target.leased.clear();
            this->breakConnections(target.incarnation);
            break;
        case CallFaultKind::Restart:
            this->breakConnections(target.incarnation);
            target = CalledUpstream {
                { target.incarnation.id, this->now }, target.address, 0, this->now, {}, {}
            };
            break;
        case CallFaultKind::NewLeader:
            // The commands that the old leader has proposed are committed by the new one, or lost.
            this->pending.endTerm(fault.duration % 2 == 0, this->state, *this->manager, this->now);
            this->newLeader();
            break;
        case CallFaultKind::ApplyLate:
            this->applyingLateUntil = this->now + fault.duration * simulationStep;
            break;
        case CallFaultKind::Drain:
            target.draining = true;
            break;
        case CallFaultKind::WorkLong:
            this->workingLongUntil = this->now + fault.duration * simulationStep;
            break;
        }
    }

    /** Sends a heartbeat, or a withdrawal, of another writer. */
    void inject(ForeignCall call)
    {
        const CalledUpstream &target = this->upstreams[static_cast<std::size_t>(call.target)];
        if (call.withdraws) {
            const std::int64_t born = call.born == ForeignBorn::Same ? target.incarnation.born : 0;
            this->commit(this->manager->onLeave({ target.incarnation.id, born }, this->time()));
            return;
        }
        const UpstreamReport first = foreignReport(call, target.incarnation, target.address,
                                                   ++this->foreignCount, this->now);
        for (int i = 0; i < call.count; ++i) {
            UpstreamReport report = first;
            report.sequence += static_cast<std::uint64_t>(i);
            this->commit(this->manager->onHeartbeat(report, this->time()).commands);
            this->run(static_cast<int>(simulatedHeartbeatInterval / simulationStep));
        }
    }

    /** Whether an upstream is up that does not leave. */
    bool canOwnKeys() const
    {
        return std::any_of(this->upstreams.begin(), this->upstreams.end(),
                           [](const auto &u) { return u.up && !u.draining; });
    }

    std::string violation() const { return this->ownership.violation(); }

    std::uint32_t leasedKeys() const
    {
        std::uint32_t keys = 0;
        for (const auto &upstream : this->upstreams) {
            keys += keysIn(upstream.leased);
        }
        return keys;
    }

    std::uint32_t keysOf(int number) const
    {
        return keysIn(this->upstreams[static_cast<std::size_t>(number)].leased);
    }

    int callCount() const { return this->calls; }
    int refusalCount() const { return this->refusals; }

    /** An earlier lease with a higher token than the leader knows, as after a lost disk. */
    void raiseFence(int number, FencingToken fence)
    {
        this->upstreams[static_cast<std::size_t>(number)].seen.push_back({ { 0, lastKey }, fence });
    }

private:
    TimePoint time() const { return { this->now }; }
    bool isRunning(const CalledUpstream &upstream) const
    {
        return upstream.up && this->now >= upstream.frozenUntil;
    }

    void commit(const std::vector<RegistryCommand> &commands)
    {
        this->pending.propose(
                commands, [] {}, this->now);
        this->pending.commit(this->state, *this->manager, this->now);
    }

    void newLeader()
    {
        ++this->leader;
        this->manager = std::make_unique<RegistryManager>(this->state, simulatedTiming());
        this->manager->setConfiguration(
                simulatedConfiguration(simulatedService, LeaseDelivery::Call));
        this->manager->startTerm(this->time());
    }

    void stepOnce()
    {
        this->pending.commit(this->state, *this->manager, this->now);
        this->deliverCalls();
        this->deliverResults();
        for (CalledUpstream &upstream : this->upstreams) {
            expireLeases(upstream.leased); // also while the upstream is frozen
            if (this->isRunning(upstream) && this->now >= upstream.nextHeartbeat) {
                this->sendHeartbeat(upstream);
            }
        }
        this->commit(this->manager->dueCommands(this->time()));
        for (const LeaseCall &call : this->manager->dueLeaseCalls(this->time())) {
            this->send(call);
        }
        this->check();
    }

    void sendHeartbeat(CalledUpstream &upstream)
    {
        upstream.nextHeartbeat = this->now + simulatedHeartbeatInterval;
        UpstreamReport report;
        report.incarnation = upstream.incarnation;
        report.service = simulatedService;
        report.address = upstream.address;
        report.zone = "a";
        report.slots = 6;
        report.draining = upstream.draining;
        report.sequence = ++upstream.sequence;
        const ReportResult result = this->manager->onHeartbeat(report, this->time());
        if (result.status == ReportStatus::Accepted && !result.commands.empty()) {
            this->commit(result.commands);
        }
    }

    // The end of a process breaks its connections: calls without a response end at once.
    void breakConnections(const UpstreamIncarnation &ended)
    {
        for (ResultInTransit &result : this->results) {
            if (result.receiver == ended
                && std::holds_alternative<LeaseCallTimedOut>(result.result)) {
                result.result = LeaseCallBroken {};
                result.arrivesAt = this->now + simulationStep;
            }
        }
    }

    const CalledUpstream *upstreamAt(const HostAddress &address) const
    {
        const auto found = std::find_if(
                this->upstreams.begin(), this->upstreams.end(),
                [&](const CalledUpstream &upstream) { return upstream.address == address; });
        return found == this->upstreams.end() ? nullptr : &*found;
    }

    // A call takes one step. One that is applied late has arrived, so its lease counts from then.
    void send(const LeaseCall &call)
    {
        ++this->calls;
        const CalledUpstream *at = this->upstreamAt(call.address);
        if (at == nullptr || !at->up) {
            this->results.push_back({ call.number, this->leader, this->now + simulationStep,
                                      LeaseCallNotSent {},
                                      at == nullptr ? call.upstream : at->incarnation });
            return;
        }
        const CalledUpstream &receiver = *at;
        // An upstream takes only calls that name its id.
        if (receiver.incarnation.id != call.upstream.id) {
            this->results.push_back({ call.number, this->leader, this->now + 2 * simulationStep,
                                      LeaseCallBroken {}, receiver.incarnation });
            return;
        }
        CallInTransit inTransit { call, this->now + simulationStep, this->now + simulationStep,
                                  this->now + 2 * simulationStep, receiver.incarnation };
        const bool isRelease = std::holds_alternative<ReleaseCall>(call.body);
        if (this->now < this->applyingLateUntil && call.number * 7919 % 10 < 4) {
            inTransit.appliedAt += 2000 + static_cast<std::int64_t>(call.number % 7) * 1500;
            inTransit.respondsAt = 0;
        } else if (isRelease && this->now < this->workingLongUntil) {
            inTransit.respondsAt += 1500;
        }
        this->inTransit.push_back(inTransit);
        if (inTransit.respondsAt == 0) {
            this->results.push_back({ call.number, this->leader, this->now + call.timeout.count,
                                      LeaseCallTimedOut {}, receiver.incarnation });
        }
    }

    void deliverCalls()
    {
        std::vector<CallInTransit> due;
        std::erase_if(this->inTransit, [&](const CallInTransit &inTransit) {
            if (inTransit.appliedAt > this->now) {
                return false;
            }
            due.push_back(inTransit);
            return true;
        });
        for (const CallInTransit &inTransit : due) {
            for (CalledUpstream &upstream : this->upstreams) {
                if (upstream.address == inTransit.call.address) {
                    this->deliver(upstream, inTransit);
                }
            }
        }
    }

    // A call to a frozen upstream times out, which resets its connection.
    void deliver(CalledUpstream &upstream, const CallInTransit &inTransit)
    {
        const bool isLate = inTransit.respondsAt == 0;
        const bool hasEnded = upstream.incarnation != inTransit.receiver || !upstream.up;
        if (hasEnded || !this->isRunning(upstream)) {
            if (!isLate) {
                this->results.push_back({ inTransit.call.number, this->leader,
                                          this->now + (hasEnded ? simulationStep : callTimeout),
                                          hasEnded ? LeaseCallResult(LeaseCallBroken {})
                                                   : LeaseCallResult(LeaseCallTimedOut {}),
                                          inTransit.receiver });
            }
            return;
        }
        LeaseCallResult result = LeaseCallAccepted { "handover" };
        if (const auto *grant = std::get_if<GrantCall>(&inTransit.call.body)) {
            result = this->grant(upstream, *grant, this->now - inTransit.arrivesAt);
        } else {
            this->release(upstream, std::get<ReleaseCall>(inTransit.call.body));
        }
        if (!isLate) {
            this->results.push_back({ inTransit.call.number, this->leader, inTransit.respondsAt,
                                      result, inTransit.receiver });
        }
    }

    LeaseCallResult grant(CalledUpstream &upstream, const GrantCall &call, std::int64_t age)
    {
        const bool isRefused = std::any_of(
                upstream.seen.begin(), upstream.seen.end(), [&](const auto &seen) {
                    return seen.first.overlaps(call.lease.range) && seen.second > call.lease.fence;
                });
        if (isRefused) {
            ++this->refusals;
            return LeaseCallRefused {};
        }
        this->ownership.recordLease(call.lease, upstream.incarnation);
        upstream.seen.emplace_back(call.lease.range, call.lease.fence);
        const double timeLeft = static_cast<double>(call.duration.count - age);
        const bool isLonger = std::any_of(
                upstream.leased.begin(), upstream.leased.end(), [&](const LeasedRange &leased) {
                    return leased.lease.fence == call.lease.fence
                           && leased.lease.range.contains(call.lease.range)
                           && leased.remainingMs >= timeLeft;
                });
        if (!isLonger && timeLeft > 0.0) {
            this->take(upstream, call.lease.range);
            upstream.leased.push_back({ call.lease, timeLeft });
        }
        return LeaseCallAccepted {};
    }

    void release(CalledUpstream &upstream, const ReleaseCall &call)
    {
        const bool isPresent = std::any_of(upstream.leased.begin(), upstream.leased.end(),
                                           [&](const LeasedRange &leased) {
                                               return leased.lease.fence == call.fence
                                                      && leased.lease.range.overlaps(call.range);
                                           });
        if (isPresent) {
            this->take(upstream, call.range);
        }
    }

    // Removes @p range from the leases.
    void take(CalledUpstream &upstream, const KeyRange &range)
    {
        std::vector<LeasedRange> rest;
        for (const LeasedRange &leased : upstream.leased) {
            const KeyRange &all = leased.lease.range;
            if (!all.overlaps(range)) {
                rest.push_back(leased);
                continue;
            }
            if (all.from < range.from) {
                rest.push_back({ { { all.from, range.from - 1 }, leased.lease.fence, {} },
                                 leased.remainingMs });
            }
            if (all.to > range.to) {
                rest.push_back({ { { range.to + 1, all.to }, leased.lease.fence, {} },
                                 leased.remainingMs });
            }
        }
        upstream.leased = rest;
    }

    void deliverResults()
    {
        std::vector<ResultInTransit> due;
        std::erase_if(this->results, [&](const ResultInTransit &result) {
            if (result.arrivesAt > this->now) {
                return false;
            }
            due.push_back(result);
            return true;
        });
        for (const ResultInTransit &result : due) {
            if (result.leader == this->leader) {
                this->manager->onLeaseCallEnded(result.number, result.result, this->time());
            }
        }
    }

    void check()
    {
        std::vector<const LeasedRanges *> all;
        for (const auto &upstream : this->upstreams) {
            all.push_back(&upstream.leased);
        }
        this->ownership.check(all, this->now);
    }

    std::int64_t now = 1000000;
    std::int64_t applyingLateUntil = 0;
    std::int64_t workingLongUntil = 0;
    PendingCommands pending;
    RegistryState state;
    std::unique_ptr<RegistryManager> manager;
    int leader = 0; // number of the present one
    int calls = 0;
    int foreignCount = 0; // of calls of other writers
    int refusals = 0;
    std::vector<CalledUpstream> upstreams;
    std::vector<CallInTransit> inTransit;
    std::vector<ResultInTransit> results;
    OwnershipCheck ownership;
};

} // namespace cassiaroad
