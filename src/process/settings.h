#pragma once

#include "process/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace cassiaroad {

/** An IP address and a port; text form "ip:port". */
struct HostAddress
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const HostAddress &) const = default;
    std::string toString() const { return this->ip + ":" + std::to_string(this->port); }
};

/** Order in which waiting requests are served. */
enum class Priority { Critical, Normal, Bulk };

/** One service: requests for "/<name>/<key>/..." go to its upstreams. */
struct ServiceSettings
{
    std::string name;
    std::uint32_t shards = 1024; // a power of two
    Priority writePriority = Priority::Normal; // POST, PUT, PATCH, DELETE
    Priority readPriority = Priority::Normal;

    bool operator==(const ServiceSettings &) const = default;
};

/** Durations of leases, elections and stops; section [timing]. */
struct TimingSettings
{
    Milliseconds heartbeatInterval { 60 };
    Milliseconds minElectionTimeout { 300 };
    Milliseconds maxElectionTimeout { 500 };
    Milliseconds leaderLease { 270 };
    Milliseconds upstreamLease { 800 };
    Milliseconds entryLease { 800 };
    Milliseconds announceInterval { 150 };
    Milliseconds watchTimeout { 150 }; // how long a watch call waits for a change at most
    Milliseconds initialAssignmentDelay { 2000 };
    Milliseconds drainDelay { 2000 };
    Milliseconds silenceTimeout { 1500 }; // maximum time without progress on a connection
    Milliseconds poolIdleTimeout { 5000 };
    Milliseconds defaultDeadline { 10000 };

    bool operator==(const TimingSettings &) const = default;
};

/** Sizes and shares; section [limits]. */
struct LimitSettings
{
    std::uint32_t maxBodyKib = 4096;
    std::uint32_t maxConnections = 20000; // of each listener of an entry host
    std::uint32_t queueLength = 256; // requests waiting for one upstream
    // Above silenceTimeout, so that a silent connection is detected first.
    Milliseconds queueTimeout { 2000 };
    std::uint32_t retryPercent = 10; // retries per 100 requests
    std::uint32_t ejectPercent = 20; // upstreams of a service that may be suspected at one time
    std::uint32_t ledgerRecordLimit = 100000;
    Milliseconds ledgerRetention { 24LL * 3600 * 1000 };
    std::uint32_t movedKeys = 1024; // maximum number of keys with a route of their own

    bool operator==(const LimitSettings &) const = default;
};

/** Weights of the placement policy; section [placement]. */
struct PlacementSettings
{
    double imbalanceWeight = 1.0;
    double churnWeight = 1.0;
    double unavailabilityWeight = 1.0;

    bool operator==(const PlacementSettings &) const = default;
};

/** One member of a control group; section [member.<number>]. */
struct MemberSettings
{
    std::uint32_t number = 0;
    std::string region;
    std::string zone;
    HostAddress rpc; // for entry hosts and the other members
    HostAddress operators; // for HTTP requests of operators

    bool operator==(const MemberSettings &) const = default;
};

/** A region of the site; section [region.<name>]. */
struct RegionSettings
{
    std::string name;
    std::vector<std::string> zones;
    std::vector<HostAddress> gateways; // caller addresses of its entry hosts

    bool operator==(const RegionSettings &) const = default;
};

/** Section [entry]; only for the role entry. */
struct EntrySettings
{
    HostAddress callers; // for requests of callers
    HostAddress announce; // for announcements of upstreams
    HostAddress admin; // for health checks and metrics
    std::string announceToken; // read from announce-token-file
    std::string traceFile; // empty: no traces

    bool operator==(const EntrySettings &) const = default;
};

/**
 * Section [control]; only for the role control. Its key "group" names the region whose group the
 * member belongs to; only the tie-breaking member, which is in another region, needs it.
 */
struct ControlSettings
{
    std::uint32_t member = 0; // number of the own [member.<number>] section
    std::string dataFolder;
    std::string operatorToken; // read from operator-token-file
    // Minimum size of the log entries after which the next snapshot is saved.
    std::size_t snapshotBytes = std::size_t(4) * 1024 * 1024;
    // Entries before a snapshot that stay in the log, for members that are slightly behind.
    std::uint64_t entriesRetained = 1000;

    bool operator==(const ControlSettings &) const = default;
};

/** Section [operator]; only for the role operator. */
struct OperatorSettings
{
    std::string operatorToken; // read from operator-token-file

    bool operator==(const OperatorSettings &) const = default;
};

/** The checked settings of one process. Immutable after parsing. */
struct Settings
{
    std::string site;
    std::string host;
    std::string region;
    std::string zone;
    std::string group; // name of the region whose control group this process calls or belongs to
    std::vector<RegionSettings> regions; // in the order that decides a shard's home region
    std::vector<ServiceSettings> services;
    std::vector<MemberSettings> members; // of the group
    std::variant<OperatorSettings, EntrySettings, ControlSettings> role;
    TimingSettings timing;
    LimitSettings limits;
    PlacementSettings placement;

    bool operator==(const Settings &) const = default;
};

/** One error in a settings file. */
struct SettingsError
{
    std::string file;
    int line = 0; // 0: the key is missing
    std::string key; // "section.key"
    std::string value; // what was read
    std::string allowed; // what would be accepted

    auto operator<=>(const SettingsError &) const = default;
    /** Returns "file:line: section.key: read \"value\", allowed: ...". */
    std::string toString() const;
};

/**
 * Reads and checks a settings file: syntax, unknown and missing keys, types, ranges, addresses that
 * two hosts share, and durations that contradict each other. Relative paths start at the folder of
 * the file. Returns all errors in the order of the lines. Safe to use from any thread.
 */
std::variant<Settings, std::vector<SettingsError>> readSettings(const std::string &path);

} // namespace cassiaroad
