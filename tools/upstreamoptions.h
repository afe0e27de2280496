#pragma once

#include "toolsockets.h"

#include <cstdint>
#include <string>
#include <vector>

#include <getopt.h>

namespace cassiaroad {

/** Command line of the test upstream. */
struct UpstreamOptions
{
    std::string service;
    std::string name;
    std::string zone;
    HostAddress listen;
    HostAddress address; // announced to the entry hosts; the relay's address if there is one
    std::vector<HostAddress> entryHosts; // addresses of their announce listeners
    std::string token;
    bool checks = true; // whether requests need a valid grant
    std::uint32_t slots = 6;
    std::uint32_t connections = 120;
    std::int64_t serviceMs = 5;
    std::int64_t coldMs = 0; // after the start, while requests take four times as long
    std::string journal; // path of the file
    std::string store; // folder of uploads; default: next to the journal
    std::int64_t delayMs = 0; // delay of each response after its slot is free again
    int healthStatus = 200; // HTTP status of /healthz
    double reportedLoad = -1; // false load to announce; negative: announce the true one
    std::int64_t drainLimitMs = 30000; // upper bound of a drain before the process ends
};

inline const char *upstreamUsage()
{
    return "usage: test_upstream --service NAME --name NAME --zone ZONE --listen IP:PORT\n"
           "    --entry IP:PORT (repeated) --token TEXT --journal FILE [--address IP:PORT]\n"
           "    [--checks | --trusts] [--slots N] [--connections N] [--service-ms N] [--cold-ms "
           "N]\n"
           "    [--store FOLDER] [--delay-ms N] [--health STATUS] [--load SHARE]\n"
           "    [--drain-limit-ms N]\n";
}

/** Sets one option. Returns false if it is unknown or its value is not valid. */
inline bool setUpstreamOption(UpstreamOptions &options, const std::string &name,
                              const std::string &value)
{
    const std::vector<std::pair<const char *, std::string *>> texts {
        { "service", &options.service }, { "name", &options.name },
        { "zone", &options.zone },       { "token", &options.token },
        { "journal", &options.journal }, { "store", &options.store }
    };
    for (const auto &[key, target] : texts) {
        if (name == key) {
            *target = value;
            return !value.empty();
        }
    }
    if (name == "listen" || name == "address" || name == "entry") {
        const auto address = parseAddressOption(value);
        if (address && name == "entry") {
            options.entryHosts.push_back(*address);
        } else if (address) {
            (name == "listen" ? options.listen : options.address) = *address;
        }
        return address.has_value();
    }
    if (name == "checks" || name == "trusts") {
        options.checks = name == "checks";
        return true;
    }
    if (name == "load") {
        options.reportedLoad = std::atof(value.c_str());
        return true;
    }
    const std::int64_t number = std::atoll(value.c_str());
    const std::vector<std::pair<const char *, std::int64_t *>> durations {
        { "service-ms", &options.serviceMs },
        { "cold-ms", &options.coldMs },
        { "delay-ms", &options.delayMs },
        { "drain-limit-ms", &options.drainLimitMs }
    };
    for (const auto &[key, target] : durations) {
        if (name == key) {
            *target = number;
            return number >= 0;
        }
    }
    if (name == "slots") {
        options.slots = static_cast<std::uint32_t>(number);
    } else if (name == "connections") {
        options.connections = static_cast<std::uint32_t>(number);
    } else if (name == "health") {
        options.healthStatus = static_cast<int>(number);
    }
    return number > 0;
}

/** Reads the command line. Returns false if it is not valid. */
inline bool readUpstreamOptions(UpstreamOptions &options, int argc, char **argv)
{
    std::vector<option> known;
    for (const char *name : { "service", "name", "zone", "listen", "address", "entry", "token",
                              "slots", "connections", "service-ms", "cold-ms", "journal", "store",
                              "delay-ms", "health", "load", "drain-limit-ms" }) {
        known.push_back({ name, required_argument, nullptr, 0 });
    }
    known.push_back({ "checks", no_argument, nullptr, 0 });
    known.push_back({ "trusts", no_argument, nullptr, 0 });
    known.push_back({ nullptr, 0, nullptr, 0 });
    int index = 0;
    for (int result = getopt_long(argc, argv, "", known.data(), &index); result != -1;
         result = getopt_long(argc, argv, "", known.data(), &index)) {
        if (result != 0
            || !setUpstreamOption(options, known[static_cast<std::size_t>(index)].name,
                                  optarg == nullptr ? "" : optarg)) {
            return false;
        }
    }
    if (options.address.port == 0) {
        options.address = options.listen;
    }
    return !options.service.empty() && !options.name.empty() && !options.journal.empty()
           && !options.entryHosts.empty() && options.listen.port != 0;
}

} // namespace cassiaroad
