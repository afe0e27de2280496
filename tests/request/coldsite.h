#pragma once

#include "request/permitclient.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>
#include <vector>

namespace cassiaroad {

/**
 * A leader and gateways that send requests to one cold upstream, in virtual time. Requests come to
 * the gateways at random, as a Poisson process, or all gateways have requests at all times. A
 * request that the leader refuses waits for the time that it tells, up to maxWait in all.
 */
class ColdSite
{
public:
    static constexpr double rate = 5.5;
    static constexpr ColdBounds bounds { 1.5, 8.0 };
    static constexpr Milliseconds step { 10 };
    static constexpr Milliseconds maxWait { 700 };
    static constexpr double allGatewaysHungry = -1.0; // as demand

    /** @p demand: requests/s of all gateways. */
    ColdSite(std::size_t count, double demand, std::uint64_t seed)
        : random(seed)
        , demand(demand)
    {
        this->leader.startTerm(this->now);
        this->start(count);
    }

    void setDemand(double value) { this->demand = value; }
    /** Times from which a call takes to the leader, and its reply back. */
    void setDelay(Milliseconds shortest, Milliseconds longest)
    {
        this->delay = std::uniform_int_distribution<std::int64_t>(shortest.count, longest.count);
    }
    /** Without a leader all calls fail. */
    void setLeader(bool value)
    {
        this->hasLeader = value;
        this->loseCalls();
    }
    /** Another host leads from now on; the earlier one may have granted until now. */
    void changeLeader()
    {
        this->loseCalls();
        this->leader = ColdPermits(bounds);
        this->leader.startTerm(this->now);
    }

    /** Starts @p count more gateways at this moment. */
    void start(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->gateways.push_back({ PermitClient("g-" + std::to_string(i)), {}, {}, {} });
        }
        for (Gateway &gateway : this->gateways) {
            gateway.client.setGateways(static_cast<std::uint32_t>(this->gateways.size()),
                                       this->now);
        }
    }

    /** Replaces all processes of gateways by new ones; calls on their way reach the leader. */
    void restartAll()
    {
        const std::size_t count = this->gateways.size();
        for (Gateway &gateway : this->gateways) {
            std::move(gateway.calls.begin(), gateway.calls.end(), std::back_inserter(this->lost));
        }
        this->gateways.clear();
        this->start(count);
    }

    void run(Milliseconds duration)
    {
        for (const TimePoint end = this->now + duration; this->now < end;
             this->now = this->now + step) {
            this->starts.push_back(0);
            for (Call &call : this->lost) {
                this->serve(call);
            }
            this->arrive();
            for (Gateway &gateway : this->gateways) {
                this->exchange(gateway);
                this->sendWaiting(gateway);
            }
        }
    }

    /** Forgets the requests so far, for busiestSecond(), started() and arrived(). */
    void restartCounts()
    {
        this->starts.clear();
        this->arrivals = 0;
    }

    /** Most requests in a second, of all gateways together. */
    int busiestSecond() const
    {
        int inWindow = 0;
        int most = 0;
        constexpr std::size_t steps = 1000 / step.count;
        for (std::size_t i = 0; i < this->starts.size(); ++i) {
            inWindow += this->starts[i] - (i >= steps ? this->starts[i - steps] : 0);
            most = std::max(most, inWindow);
        }
        return most;
    }

    /** Requests that the upstream got. */
    int started() const
    {
        int sum = 0;
        for (const int count : this->starts) {
            sum += count;
        }
        return sum;
    }
    /** Requests that came to the gateways. */
    int arrived() const { return this->arrivals; }

    static int allowed() { return static_cast<int>(rate * bounds.over + bounds.slack); }

private:
    /** A call on its way to the leader, or its reply on its way back. */
    struct Call
    {
        PermitRequest request;
        TimePoint arrivesAt; // at the leader
        TimePoint returnsAt;
        bool isServed = false;
        bool isLost = false;
        PermitReply reply;
    };

    /** A request that waits at its gateway. */
    struct Waiting
    {
        TimePoint until; // it is refused then
        TimePoint askAt; // it asks then
        bool isAsked = false; // its permit is asked for
    };

    struct Gateway
    {
        PermitClient client;
        std::vector<Call> calls;
        std::vector<Waiting> waiting;
        TimePoint failsAt; // end of the call in progress without a reply
    };

    // Calls that no leader has received are received by none. Replies on their way arrive.
    void loseCalls()
    {
        this->lost.clear();
        for (Gateway &gateway : this->gateways) {
            for (Call &call : gateway.calls) {
                call.isLost = !call.isServed;
            }
        }
    }

    Milliseconds drawDelay() { return { this->delay(this->random) }; }

    void serve(Call &call)
    {
        if (call.isServed || call.isLost || this->now < call.arrivesAt || !this->hasLeader) {
            return;
        }
        call.isServed = true;
        for (const PermitAsk &ask : call.request.asks) {
            call.reply.grants.push_back(this->leader.grant(ask, rate, this->now));
        }
    }

    // Carries calls and replies of a gateway. A reply that is late is not used.
    void exchange(Gateway &gateway)
    {
        for (Call &call : gateway.calls) {
            this->serve(call);
        }
        if (!gateway.calls.empty()) {
            const Call &call = gateway.calls.back();
            const bool isAnswered = call.isServed && this->now >= call.returnsAt;
            if (isAnswered || this->now >= gateway.failsAt) {
                isAnswered ? gateway.client.onReply(call.reply, this->now)
                           : gateway.client.onFailure(this->now);
                std::move(gateway.calls.begin(), gateway.calls.end(),
                          std::back_inserter(this->lost));
                gateway.calls.clear();
                this->decide(gateway);
            }
        }
        if (auto request = gateway.client.takeCall(this->now)) {
            const TimePoint arrivesAt = this->now + this->drawDelay();
            gateway.calls.push_back({ std::move(*request),
                                      arrivesAt,
                                      arrivesAt + this->drawDelay(),
                                      false,
                                      false,
                                      {} });
            gateway.failsAt = this->now + coldPermitLifetime;
        }
    }

    // Lets the requests go on whose permits were asked for.
    void decide(Gateway &gateway)
    {
        for (Waiting &waiting : gateway.waiting) {
            if (std::exchange(waiting.isAsked, false)) {
                waiting.askAt = this->now;
            }
        }
        this->sendWaiting(gateway);
    }

    void sendWaiting(Gateway &gateway)
    {
        std::erase_if(gateway.waiting, [&](Waiting &waiting) {
            if (waiting.isAsked) {
                return false;
            }
            if (this->now >= waiting.askAt && this->send(gateway)) {
                return true;
            }
            if (this->now >= waiting.until) {
                return true;
            }
            if (this->now >= waiting.askAt) {
                this->ask(gateway, waiting);
            }
            return false;
        });
    }

    bool send(Gateway &gateway)
    {
        if (!gateway.client.has(address, this->now)) {
            return false;
        }
        EXPECT_LT(this->now, gateway.client.take(address));
        ++this->starts.back();
        return true;
    }

    void ask(Gateway &gateway, Waiting &waiting)
    {
        const auto refusal = gateway.client.ask("orders", address, this->now);
        waiting.isAsked = !refusal;
        waiting.askAt = refusal ? this->now + refusal->retryAfter : waiting.askAt;
    }

    void arrive()
    {
        if (this->demand == allGatewaysHungry) {
            for (Gateway &gateway : this->gateways) {
                this->arriveAt(gateway);
            }
            return;
        }
        const double mean = this->demand * static_cast<double>(step.count) / 1000.0;
        const int count = std::poisson_distribution<int>(mean)(this->random);
        for (int i = 0; i < count; ++i) {
            this->arriveAt(this->gateways[std::uniform_int_distribution<std::size_t>(
                    0, this->gateways.size() - 1)(this->random)]);
        }
    }

    void arriveAt(Gateway &gateway)
    {
        constexpr std::size_t maxWaiting = 4;
        ++this->arrivals;
        if (gateway.waiting.size() < maxWaiting) {
            gateway.waiting.push_back({ this->now + maxWait, this->now, false });
        }
    }

    static inline const HostAddress address { "10.0.0.1", 80 };

    std::mt19937_64 random;
    double demand;
    TimePoint now { 1000000 };
    ColdPermits leader { bounds };
    bool hasLeader = true;
    std::uniform_int_distribution<std::int64_t> delay { 1, 25 };
    std::vector<Gateway> gateways;
    std::vector<Call> lost; // calls that nobody waits for any more
    std::vector<int> starts; // by step
    int arrivals = 0;
};

} // namespace cassiaroad
