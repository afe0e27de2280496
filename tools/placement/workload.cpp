#include "workload.h"

#include "version/routetable.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numbers>

namespace cassiaroad::placement {

namespace {

constexpr double secondsPerDay = 24 * 3600;
// Load at night relative to the peak.
constexpr double nightShare = 0.2;

} // namespace

WorkloadSettings eventWeekend()
{
    WorkloadSettings settings;
    settings.name = "event-weekend";
    settings.seed = 20261204;
    return settings;
}

WorkloadSettings peakWeek()
{
    WorkloadSettings settings;
    settings.name = "peak-week";
    settings.seed = 20261205;
    settings.servers = 20;
    settings.keys = 40000;
    settings.zipfExponent = 0.6;
    settings.hotShare = 0.15;
    settings.hotPeriod = 4 * 3600;
    settings.peakRate = 800;
    settings.drainPeriod = 3 * 3600;
    settings.lossPeriod = 6 * 3600;
    return settings;
}

Workload::Workload(WorkloadSettings settings)
    : workloadSettings(std::move(settings))
    , random(this->workloadSettings.seed)
    , shardWeight(this->workloadSettings.shards, 0.0)
    , shardKeys(this->workloadSettings.shards, 0)
    , outages(this->workloadSettings.servers)
{
    double total = 0.0;
    for (std::uint32_t key = 0; key < this->workloadSettings.keys; ++key) {
        const double weight = std::pow(key + 1.0, -this->workloadSettings.zipfExponent);
        const std::uint32_t shard = this->shardOf(key);
        if (key < this->workloadSettings.reportedKeys) {
            this->keyWeight.push_back(weight);
        } else {
            this->shardWeight[shard] += weight;
        }
        this->shardKeys[shard] += 1;
        total += weight;
    }
    for (double &weight : this->shardWeight) {
        weight /= total;
    }
    for (double &weight : this->keyWeight) {
        weight /= total;
    }
    this->drawOutages(this->workloadSettings.drainPeriod, this->workloadSettings.drainDuration,
                      true);
    this->drawOutages(this->workloadSettings.lossPeriod, this->workloadSettings.lossDuration,
                      false);
}

std::uint32_t Workload::shardOf(std::uint32_t key) const
{
    return shardOfKey("key-" + std::to_string(key), this->workloadSettings.shards);
}

std::uint32_t Workload::stepCount() const
{
    return static_cast<std::uint32_t>(this->workloadSettings.duration
                                      / this->workloadSettings.step);
}

WorkloadStep Workload::next()
{
    WorkloadStep step;
    step.time = this->nextStep * this->workloadSettings.step;
    ++this->nextStep;
    const auto epoch = static_cast<std::int64_t>(step.time / this->workloadSettings.hotPeriod);
    if (epoch != this->hotEpoch) {
        this->hotEpoch = epoch;
        this->drawHotKeys();
    }
    const double rate = this->rateAt(step.time);
    const double ordinary = rate * (1.0 - this->workloadSettings.hotShare);
    for (const double weight : this->shardWeight) {
        step.shardLoad.push_back(this->withNoise(weight * ordinary));
    }
    std::map<std::uint32_t, double> keys;
    for (std::uint32_t key = 0; key < this->keyWeight.size(); ++key) {
        keys[key] = this->withNoise(this->keyWeight[key] * ordinary);
    }
    for (std::size_t i = 0; i < this->hotKeyNumbers.size(); ++i) {
        keys[this->hotKeyNumbers[i]]
                += this->withNoise(this->hotKeyShare[i] * rate * this->workloadSettings.hotShare);
    }
    for (const auto &[key, load] : keys) {
        step.hotKeys.push_back({ key, load });
    }
    step.servers = this->serversAt(step.time);
    for (const std::vector<Outage> &list : this->outages) {
        step.lost.push_back(std::any_of(list.begin(), list.end(), [&](const Outage &outage) {
            return !outage.planned && step.time >= outage.start && step.time < outage.end;
        }));
    }
    return step;
}

void Workload::drawOutages(double period, double length, bool planned)
{
    std::uniform_int_distribution<std::uint32_t> server(0, this->workloadSettings.servers - 1);
    std::uniform_real_distribution<double> offset(0.25, 0.75);
    for (double start = 0; start + period < this->workloadSettings.duration; start += period) {
        const double begin = start + period * offset(this->random);
        this->outages[server(this->random)].push_back({ begin, begin + length, planned });
    }
}

void Workload::drawHotKeys()
{
    std::uniform_int_distribution<std::uint32_t> key(0, this->workloadSettings.keys - 1);
    this->hotKeyNumbers.clear();
    this->hotKeyShare.clear();
    double total = 0.0;
    while (this->hotKeyNumbers.size() < this->workloadSettings.hotKeys) {
        this->hotKeyNumbers.push_back(key(this->random));
        this->hotKeyShare.push_back(1.0 / static_cast<double>(this->hotKeyNumbers.size() + 2));
        total += this->hotKeyShare.back();
    }
    for (double &share : this->hotKeyShare) {
        share /= total;
    }
}

double Workload::withNoise(double rate)
{
    std::normal_distribution<double> noise(0.0, 1.0);
    const double mean = rate * this->workloadSettings.step;
    return std::max(0.0, mean + std::sqrt(mean) * noise(this->random))
           / this->workloadSettings.step;
}

std::vector<PlacementServer> Workload::serversAt(double time) const
{
    std::vector<PlacementServer> servers;
    for (std::uint32_t i = 0; i < this->workloadSettings.servers; ++i) {
        PlacementServer server;
        server.name = "server-" + std::to_string(i);
        server.zone = "zone-" + std::to_string(i % this->workloadSettings.zones);
        for (const Outage &outage : this->outages[i]) {
            if (time >= outage.start && time < outage.end) {
                server.accepting = false;
            } else if (time >= outage.end
                       && time < outage.end + this->workloadSettings.coldDuration) {
                server.cold = true;
                server.capacity = this->workloadSettings.coldCapacity;
            }
        }
        servers.push_back(server);
    }
    return servers;
}

double Workload::rateAt(double time) const
{
    const double phase = 2 * std::numbers::pi * time / secondsPerDay;
    const double share = nightShare + (1 - nightShare) * (0.5 - 0.5 * std::cos(phase));
    return this->workloadSettings.peakRate * share;
}

} // namespace cassiaroad::placement
