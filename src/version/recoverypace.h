#pragma once

#include "version/routingtable.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cassiaroad {

/** An upstream of a service without keys that states no rate of cold upstreams. */
struct RecoveryCandidate
{
    UpstreamIncarnation incarnation;
    std::string service;
    bool silent = false; // its heartbeats do not arrive
};

/**
 * Decides at the leader which share of its usual requests an upstream gets that has just started or
 * is heard again after silence. The share rises while its responses stay quick and falls as they
 * slow down. Pure; not thread-safe.
 */
class RecoveryPace
{
public:
    /** Forgets all upstreams. Those of the first seconds of a term are not held back. */
    void startTerm(TimePoint now);

    /** Records that @p requests at upstream @p id took @p duration in total. */
    void recordTiming(const std::string &id, std::uint32_t requests, Milliseconds duration);

    /** Whether update() is due: it looks at all upstreams, so it is done a few times a second. */
    bool isDue(TimePoint now) const;
    /** Updates the shares, at most every shareStepInterval. @p present are all upstreams. */
    void update(const std::vector<RecoveryCandidate> &present, TimePoint now);

    /** Returns the share of a recovering upstream in thousandths; nothing: it is not held back. */
    std::optional<std::uint16_t> share(const UpstreamIncarnation &incarnation) const;

private:
    /** Sum of durations of requests. */
    struct Timing
    {
        double requests = 0.0;
        double milliseconds = 0.0;

        double mean() const { return this->milliseconds / this->requests; }
    };

    struct Upstream
    {
        UpstreamIncarnation incarnation;
        std::string service;
        bool silent = false;
        std::optional<double> share; // while it recovers
        Timing timing; // since its last verdict
        std::optional<double> bestMilliseconds; // least mean duration while it recovers
    };

    void observe(const std::vector<RecoveryCandidate> &present, TimePoint now);
    void releaseMajorities();
    void addServiceTimings();
    void step(Upstream &upstream) const;
    double factorOf(Upstream &upstream) const;

    TimePoint termStart;
    TimePoint steppedAt;
    TimePoint updatedAt;
    std::map<std::string, Upstream> upstreams; // by id
    std::map<std::string, Timing> serviceTimings; // of upstreams that do not recover, decayed
};

} // namespace cassiaroad
