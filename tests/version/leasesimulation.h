#pragma once

#include "version/registrymanager.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <string>

namespace cassiaroad {

// Parts of the simulations of a leader and its upstreams in virtual time, which differ in how the
// upstreams receive their leases.

inline constexpr std::int64_t simulationStep = 10; // milliseconds
inline constexpr std::int64_t simulatedHeartbeatInterval = 1000;
inline const std::string simulatedService = "ledger";
inline const std::string otherSimulatedService = "library"; // its upstreams own no keys

inline RegistryTiming simulatedTiming()
{
    RegistryTiming timing;
    timing.leases.leaseDuration = { 3500 };
    timing.leases.leaseDurationOnLeaderClock = { 3820 };
    timing.leases.callTimeout = { 600 };
    timing.ranges.heartbeatInterval = { simulatedHeartbeatInterval };
    return timing;
}

inline std::shared_ptr<const SiteConfiguration> simulatedConfiguration(const std::string &service,
                                                                       LeaseDelivery delivery)
{
    auto configuration = std::make_shared<SiteConfiguration>();
    configuration->version = 1;
    configuration->services[service].keyed = true;
    configuration->services[service].leaseDelivery = delivery;
    configuration->services[otherSimulatedService].keyed = false;
    return configuration;
}

/** A lease of an upstream, with the time until it expires by the clock of the upstream. */
struct LeasedRange
{
    RangeLease lease;
    double remainingMs = 0.0;
};

using LeasedRanges = std::vector<LeasedRange>;

/** Lets one step pass for leases. The clock that measures them runs 2% slow. */
inline void expireLeases(LeasedRanges &leased)
{
    for (LeasedRange &range : leased) {
        range.remainingMs -= simulationStep * 0.98;
    }
    std::erase_if(leased, [](const LeasedRange &range) { return range.remainingMs <= 0.0; });
}

inline std::uint32_t keysIn(const LeasedRanges &leased)
{
    std::uint32_t keys = 0;
    for (const LeasedRange &range : leased) {
        keys += range.lease.range.size();
    }
    return keys;
}

/** Checks that a key has one owner, and a fencing token one incarnation. */
class OwnershipCheck
{
public:
    /** Records that @p incarnation takes @p lease. */
    void recordLease(const RangeLease &lease, const UpstreamIncarnation &incarnation)
    {
        const auto [entry, isNew] = this->fenceOwners.try_emplace(lease.fence, incarnation);
        if (!isNew && entry->second != incarnation) {
            this->found
                    = "two incarnations were granted fencing token " + std::to_string(lease.fence);
        }
    }

    /** Checks the leases of all upstreams, one list for each, at @p now. */
    void check(const std::vector<const LeasedRanges *> &upstreams, std::int64_t now)
    {
        std::vector<std::pair<KeyRange, std::size_t>> all;
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            for (const LeasedRange &leased : *upstreams[i]) {
                all.emplace_back(leased.lease.range, i);
            }
        }
        std::sort(all.begin(), all.end());
        for (std::size_t i = 1; i < all.size(); ++i) {
            if (all[i - 1].first.overlaps(all[i].first) && all[i - 1].second != all[i].second) {
                this->found = "two upstreams have a lease on key "
                              + std::to_string(all[i].first.from) + " at " + std::to_string(now);
            }
        }
    }

    /** The last violation; empty if there was none. */
    const std::string &violation() const { return this->found; }

private:
    std::map<FencingToken, UpstreamIncarnation> fenceOwners;
    std::string found;
};

/** Commands that the leader has proposed and the group has not committed yet. */
class PendingCommands
{
public:
    explicit PendingCommands(std::int64_t commitDelay)
        : commitDelay(commitDelay)
    { }

    void propose(std::vector<RegistryCommand> commands, std::function<void()> done,
                 std::int64_t now)
    {
        this->batches.push_back({ now + this->commitDelay, std::move(commands), std::move(done) });
    }

    /** Commits what is due at @p now; the manager is told of each command. */
    void commit(RegistryState &state, RegistryManager &manager, std::int64_t now)
    {
        while (!this->batches.empty() && this->batches.front().committedAt <= now) {
            const Batch batch = std::move(this->batches.front());
            this->batches.pop_front();
            for (const RegistryCommand &command : batch.commands) {
                state.apply(command);
                manager.onCommandEnded(command);
            }
            batch.done();
        }
    }

    /** Ends the term of the leader: its commands are committed by the next one, or lost. */
    void endTerm(bool areCommitted, RegistryState &state, RegistryManager &manager,
                 std::int64_t now)
    {
        if (areCommitted) {
            this->commit(state, manager, now + this->commitDelay);
        }
        this->batches.clear();
    }

private:
    struct Batch
    {
        std::int64_t committedAt = 0;
        std::vector<RegistryCommand> commands;
        std::function<void()> done;
    };

    std::int64_t commitDelay;
    std::deque<Batch> batches;
};

} // namespace cassiaroad
