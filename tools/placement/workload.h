#pragma once

#include "version/placementpolicy.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace cassiaroad::placement {

/** Parameters of the workload of one user; all times are in seconds. */
struct WorkloadSettings
{
    std::string name;
    std::uint64_t seed = 1;
    std::uint32_t servers = 25;
    std::uint32_t zones = 2;
    std::uint32_t shards = 1024;
    std::uint32_t keys = 100000;
    double zipfExponent = 0.8; // of the popularity of ordinary keys
    std::uint32_t reportedKeys = 256; // number of the most popular ordinary keys, whose loads are
                                      // reported one by one
    std::uint32_t hotKeys = 15; // number of keys that draw extra load
    double hotShare = 0.25; // share of the total load that goes to the hot keys
    double hotPeriod = 1800; // interval after which other keys are hot
    double peakRate = 2000; // requests per second at the busiest hour
    double duration = 24 * 3600;
    double step = 10; // length of a step
    double drainPeriod = 2 * 3600; // interval of planned drains, each for drainDuration
    double drainDuration = 1200;
    double lossPeriod = 4 * 3600; // interval of losses: a server freezes for lossDuration
    double lossDuration = 600;
    double coldDuration = 300; // a server that returns has coldCapacity for this long
    double coldCapacity = 0.4; // relative to a warm server

    bool operator==(const WorkloadSettings &) const = default;
};

/**
 * Event weekend of the user Rastikartta: proofs of maps are read all evening, the orders of single
 * events make keys hot, and servers are drained and lost.
 */
WorkloadSettings eventWeekend();

/**
 * Peak week of the user Badia, a cooperative: the bookings of one district make keys hot, with
 * fewer servers than in the event weekend and hot keys that change less often.
 */
WorkloadSettings peakWeek();

/** Load of a heavy key, i.e. a hot key or one of the most popular ordinary keys. */
struct HotKey
{
    std::uint32_t key = 0;
    double load = 0.0; // requests per second

    bool operator==(const HotKey &) const = default;
};

/** Servers and request load of the simulated site in one step. */
struct WorkloadStep
{
    double time = 0.0;
    std::vector<PlacementServer> servers; // capacity and accepting as the leader knows them
    std::vector<bool> lost; // per server: frozen, so that only its expired lease shows it
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
    /** Time in which a server accepts no shards. */
    struct Outage
    {
        double start = 0.0;
        double end = 0.0;
        bool planned = false; // a drain, not a loss
    };

    void drawOutages(double period, double length, bool planned);
    void drawHotKeys();
    std::vector<PlacementServer> serversAt(double time) const;
    double rateAt(double time) const;

    WorkloadSettings workloadSettings;
    std::mt19937_64 random;
    double withNoise(double rate); // rate seen in one step if `rate` is the mean

    std::vector<double> shardWeight; // share of ordinary load of each shard, less reported keys
    std::vector<double> keyWeight; // share of the ordinary load of each reported key
    std::vector<std::uint64_t> shardKeys; // number of keys of each shard
    std::vector<std::vector<Outage>> outages; // per server
    std::vector<std::uint32_t> hotKeyNumbers;
    std::vector<double> hotKeyShare; // share of the hot load, per entry of hotKeyNumbers
    std::uint32_t nextStep = 0;
    std::int64_t hotEpoch = -1; // number of the period of the present hot keys
};

} // namespace cassiaroad::placement
