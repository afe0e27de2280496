#pragma once

#include "version/placementpolicy.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace cassiaroad::placement {

/** Shape of one user's workload; all times in seconds. */
struct WorkloadSettings
{
    std::string name;
    std::uint64_t seed = 1;
    std::uint32_t servers = 25;
    std::uint32_t zones = 2;
    std::uint32_t shards = 1024;
    std::uint32_t keys = 100000;
    double zipfExponent = 0.8; // popularity of ordinary keys
    std::uint32_t reportedKeys = 256; // most popular ordinary keys, reported one by one
    std::uint32_t hotKeys = 15;
    double hotShare = 0.25; // share of the load that the hot keys draw together
    double hotPeriod = 1800; // the set of hot keys changes this often
    double peakRate = 2000; // requests per second at the busiest hour
    double duration = 24 * 3600;
    double step = 10;
    double drainPeriod = 2 * 3600; // a planned drain this often, lasting drainLength
    double drainLength = 1200;
    double lossPeriod = 4 * 3600; // a server freezes this often, for lossLength
    double lossLength = 600;
    double coldLength = 300; // a returning server runs at coldCapacity for this long
    double coldCapacity = 0.4;

    bool operator==(const WorkloadSettings &) const = default;
};

/** Event weekend of Rastikartta: proofs all evening, orders of a hot event, drains and losses. */
WorkloadSettings eventWeekend();

/** Peak week of the cooperative: bookings of one district, fewer servers, hot keys live longer. */
WorkloadSettings peakWeek();

/** Load of a heavy key: one of the most popular ordinary keys or a hot key. */
struct HotKey
{
    std::uint32_t key = 0;
    double load = 0.0; // requests per second

    bool operator==(const HotKey &) const = default;
};

/** State of the outside world in one step. */
struct WorkloadStep
{
    double time = 0.0;
    std::vector<PlacementServer> servers; // capacity and accepting as the leader knows them
    std::vector<bool> lost; // per server: frozen, found by its lease
    std::vector<double> shardLoad; // without the heavy keys
    std::vector<HotKey> hotKeys; // heavy keys in ascending order of their numbers
};

/** Generates the steps of a workload; equal settings give equal steps. */
class Workload
{
public:
    explicit Workload(WorkloadSettings settings);

    std::uint32_t shardOf(std::uint32_t key) const;
    const std::vector<std::uint64_t> &keysPerShard() const { return this->shardKeys; }
    const WorkloadSettings &settings() const { return this->workloadSettings; }
    std::uint32_t stepCount() const;

    /** Returns the next step. Precondition: called at most stepCount() times. */
    WorkloadStep next();

private:
    struct Outage
    {
        double start = 0.0;
        double end = 0.0;
        bool planned = false;
    };

    void planOutages(double period, double length, bool planned);
    void drawHotKeys();
    std::vector<PlacementServer> serversAt(double time) const;
    double rateAt(double time) const;

    WorkloadSettings workloadSettings;
    std::mt19937_64 random;
    double noisy(double rate);

    std::vector<double> shardWeight; // share of ordinary load, without reported keys
    std::vector<double> keyWeight; // share of ordinary load of each reported key
    std::vector<std::uint64_t> shardKeys;
    std::vector<std::vector<Outage>> outages; // per server
    std::vector<std::uint32_t> hotKeyNumbers;
    std::vector<double> hotKeyShare;
    std::uint32_t nextStep = 0;
    std::int64_t hotEpoch = -1;
};

} // namespace cassiaroad::placement
