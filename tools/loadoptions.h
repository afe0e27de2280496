#pragma once

#include "toolsockets.h"

#include <cstdint>
#include <string>
#include <vector>

#include <getopt.h>

namespace cassiaroad {

/** Command line of the load tool. */
struct LoadOptions
{
    std::vector<HostAddress> targets; // used in round-robin order
    std::string service;
    std::string suffix = "/page"; // of the path, after the key
    std::uint64_t keys = 1000;
    double skew = 0; // exponent of the Zipf distribution of keys; 0: uniform
    double rate = 100; // requests per second
    std::int64_t seconds = 10;
    std::int64_t warmupMs = 0; // requests of this time at the start are not counted
    double posts = 0; // share of requests that are POST
    double keyed = 0; // share of the POST requests with an Idempotency-Key
    std::uint64_t bodyBytes = 200; // of POST requests
    std::int64_t deadlineMs = 10000;
    std::uint64_t seed = 1;
    std::string grant; // Cassiaroad-Grant header; for requests that are sent directly to an
                       // upstream that does not check grants
};

inline const char *loadUsage()
{
    return "usage: load --target IP:PORT (repeated) --service NAME [--suffix PATH] [--keys N]\n"
           "    [--skew EXPONENT] [--rate PER-SECOND] [--seconds N] [--warmup-ms N]\n"
           "    [--posts SHARE] [--keyed SHARE] [--body-bytes N] [--deadline-ms N] [--seed N]\n"
           "    [--grant TEXT]\n";
}

/** Reads the command line. Returns false if it is not valid. */
inline bool readLoadOptions(LoadOptions &options, int argc, char **argv)
{
    const std::vector<std::pair<const char *, double *>> numbers { { "rate", &options.rate },
                                                                   { "skew", &options.skew },
                                                                   { "posts", &options.posts },
                                                                   { "keyed", &options.keyed } };
    const std::vector<std::pair<const char *, std::int64_t *>> durations {
        { "seconds", &options.seconds },
        { "warmup-ms", &options.warmupMs },
        { "deadline-ms", &options.deadlineMs }
    };
    const std::vector<std::pair<const char *, std::uint64_t *>> counts {
        { "keys", &options.keys }, { "body-bytes", &options.bodyBytes }, { "seed", &options.seed }
    };
    const std::vector<std::pair<const char *, std::string *>> texts {
        { "service", &options.service }, { "suffix", &options.suffix }, { "grant", &options.grant }
    };
    std::vector<option> known { { "target", required_argument, nullptr, 0 } };
    const auto addAll = [&known](const auto &list) {
        for (const auto &[name, target] : list) {
            known.push_back({ name, required_argument, nullptr, 0 });
        }
    };
    addAll(numbers);
    addAll(durations);
    addAll(counts);
    addAll(texts);
    known.push_back({ nullptr, 0, nullptr, 0 });
    int index = 0;
    for (int result = getopt_long(argc, argv, "", known.data(), &index); result != -1;
         result = getopt_long(argc, argv, "", known.data(), &index)) {
        if (result != 0) {
            return false;
        }
        auto position = static_cast<std::size_t>(index);
        if (position == 0) {
            const auto address = parseAddressOption(optarg);
            if (!address) {
                return false;
            }
            options.targets.push_back(*address);
            continue;
        }
        --position;
        if (position < numbers.size()) {
            *numbers[position].second = std::atof(optarg);
        } else if ((position -= numbers.size()) < durations.size()) {
            *durations[position].second = std::atoll(optarg);
        } else if ((position -= durations.size()) < counts.size()) {
            *counts[position].second = std::strtoull(optarg, nullptr, 10);
        } else {
            *texts[position - counts.size()].second = optarg;
        }
    }
    return !options.targets.empty() && !options.service.empty() && options.rate > 0
           && options.keys > 0 && options.seconds > 0;
}

} // namespace cassiaroad
