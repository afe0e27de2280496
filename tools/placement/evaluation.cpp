#include "evaluation.h"

#include <algorithm>
#include <ctime>
#include <numeric>

namespace cassiaroad::placement {

namespace {

// Weight of the newest step in the exponentially smoothed loads.
constexpr double smoothing = 0.2;
// Policies run every 30 s, and immediately when a server stops or resumes accepting shards.
constexpr std::uint32_t stepsPerUpdate = 3;
// Time from the loss of a server until its keys are served again: the lease of 1 s, two commits,
// and reports (design, section 4).
constexpr double lossRecoverySeconds = 1.3;
// Time that requests wait during a planned move: one watch interval and one announcement interval.
constexpr double plannedMoveSeconds = 0.3;

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/** One run of a policy over a workload: the smoothed loads, the assignment and the score. */
class Run
{
public:
    Run(const WorkloadSettings &settings, Policy policy)
        : workload(settings)
        , policy(std::move(policy))
    {
        this->assignment.shardOwner.assign(settings.shards, noServer);
    }

    Score run()
    {
        for (std::uint32_t i = 0; i < this->workload.stepCount(); ++i) {
            const WorkloadStep step = this->workload.next();
            this->observe(step);
            if (i % stepsPerUpdate == 0 || this->haveServersChanged(step)) {
                this->update(step, i == 0);
            }
            this->measure(step);
        }
        this->finish();
        return this->score;
    }

private:
    /** Updates the smoothed loads and the servers from a step. */
    void observe(const WorkloadStep &step)
    {
        Observation &seen = this->observation;
        seen.time = step.time;
        seen.servers = step.servers;
        std::map<std::uint32_t, double> smoothed;
        for (const HotKey &key : step.hotKeys) {
            const auto old = this->keyLoads.find(key.key);
            const double before = old == this->keyLoads.end() ? 0.0 : old->second;
            smoothed[key.key] = before + smoothing * (key.load - before);
        }
        for (const auto &[key, load] : this->keyLoads) {
            if (!smoothed.contains(key) && load > 0.01) {
                smoothed[key] = load * (1 - smoothing);
            }
        }
        this->keyLoads = std::move(smoothed);
        if (this->shardLoads.empty()) {
            this->shardLoads = step.shardLoad;
        }
        for (std::size_t shard = 0; shard < step.shardLoad.size(); ++shard) {
            this->shardLoads[shard]
                    += smoothing * (step.shardLoad[shard] - this->shardLoads[shard]);
        }
    }

    /** Copies the smoothed loads; the load of a moved key does not count for its shard. */
    void fillObservation()
    {
        Observation &seen = this->observation;
        seen.shardLoad = this->shardLoads;
        seen.hotKeys.clear();
        seen.hotKeyShards.clear();
        for (const auto &[key, load] : this->keyLoads) {
            const std::uint32_t shard = this->workload.shardOf(key);
            seen.hotKeys.push_back({ key, load });
            seen.hotKeyShards.push_back(shard);
            if (!this->assignment.movedKeys.contains(key)) {
                seen.shardLoad[shard] += load;
            }
        }
    }

    /** Whether other servers accept shards than at the previous call. */
    bool haveServersChanged(const WorkloadStep &step)
    {
        std::vector<bool> accepting;
        for (const PlacementServer &server : step.servers) {
            accepting.push_back(server.accepting);
        }
        const bool changed = accepting != this->lastAccepting;
        this->lastAccepting = accepting;
        return changed;
    }

    void update(const WorkloadStep &step, bool first)
    {
        this->fillObservation();
        const Assignment before = this->assignment;
        const double start = processorSeconds();
        std::visit([&](const auto &chosen) { chosen.update(this->observation, this->assignment); },
                   this->policy);
        this->score.policySeconds += processorSeconds() - start;
        this->eraseStaleMovedKeys(step);
        if (!first) {
            this->countMoves(before, step);
        }
    }

    // A moved key returns to the owner of its shard when its own server stops accepting keys.
    void eraseStaleMovedKeys(const WorkloadStep &step)
    {
        std::erase_if(this->assignment.movedKeys, [&](const auto &moved) {
            return !step.servers[moved.second].accepting
                   || moved.second
                              == this->assignment.shardOwner[this->workload.shardOf(moved.first)];
        });
    }

    void countMoves(const Assignment &before, const WorkloadStep &step)
    {
        for (std::size_t shard = 0; shard < before.shardOwner.size(); ++shard) {
            const int from = before.shardOwner[shard];
            if (from != this->assignment.shardOwner[shard]) {
                this->score.shardMoves += 1;
                this->countKeys(this->workload.keysPerShard()[shard], from, step);
            }
        }
        std::map<std::uint32_t, int> keys = before.movedKeys;
        keys.insert(this->assignment.movedKeys.begin(), this->assignment.movedKeys.end());
        for (const auto &[key, unused] : keys) {
            const std::uint32_t shard = this->workload.shardOf(key);
            const int from = before.ownerOf(key, shard);
            const bool withShard
                    = !before.movedKeys.contains(key) && !this->assignment.movedKeys.contains(key);
            if (!withShard && from != this->assignment.ownerOf(key, shard)) {
                this->score.keyMoves += 1;
                this->countKeys(1, from, step);
            }
        }
    }

    void countKeys(std::uint64_t keys, int from, const WorkloadStep &step)
    {
        this->score.keysMoved += keys;
        const bool lost = from != noServer && step.lost[from];
        (lost ? this->score.lossKeySeconds : this->score.plannedKeySeconds)
                += static_cast<double>(keys) * (lost ? lossRecoverySeconds : plannedMoveSeconds);
    }

    /** Records the imbalance of a step: the highest utilization relative to the mean one. */
    void measure(const WorkloadStep &step)
    {
        std::vector<double> loads(step.servers.size(), 0.0);
        for (std::size_t shard = 0; shard < step.shardLoad.size(); ++shard) {
            loads[this->assignment.shardOwner[shard]] += step.shardLoad[shard];
        }
        for (const HotKey &key : step.hotKeys) {
            loads[this->assignment.ownerOf(key.key, this->workload.shardOf(key.key))] += key.load;
        }
        double total = 0.0;
        double capacity = 0.0;
        double busiest = 0.0;
        for (std::size_t i = 0; i < loads.size(); ++i) {
            if (step.servers[i].accepting) {
                total += loads[i];
                capacity += step.servers[i].capacity;
                busiest = std::max(busiest, loads[i] / step.servers[i].capacity);
            }
        }
        this->imbalances.push_back(busiest / (total / capacity));
    }

    void finish()
    {
        std::sort(this->imbalances.begin(), this->imbalances.end());
        const double sum = std::accumulate(this->imbalances.begin(), this->imbalances.end(), 0.0);
        this->score.imbalanceMean = sum / static_cast<double>(this->imbalances.size());
        this->score.imbalanceP99 = this->imbalances[this->imbalances.size() * 99 / 100];
    }

    Workload workload;
    Policy policy;
    Assignment assignment;
    Observation observation;
    std::vector<double> shardLoads;
    std::map<std::uint32_t, double> keyLoads;
    std::vector<bool> lastAccepting;
    std::vector<double> imbalances;
    Score score;
};

} // namespace

std::string nameOf(const Policy &policy)
{
    return std::visit([](const auto &chosen) -> std::string { return chosen.name; }, policy);
}

Score evaluate(const WorkloadSettings &settings, const Policy &policy)
{
    return Run(settings, policy).run();
}

} // namespace cassiaroad::placement
