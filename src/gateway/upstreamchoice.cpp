#include "gateway/upstreamchoice.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cassiaroad {

namespace {

constexpr std::size_t minSampleSize = 2;

void addSample(const GatewayUpstreams &from, std::size_t gatewayCount, std::mt19937_64 &random,
               GatewayUpstreams &sample)
{
    std::sample(from.begin(), from.end(), std::back_inserter(sample),
                sampleSize(from.size(), gatewayCount), random);
}

std::shared_ptr<GatewayUpstream> cheapest(const GatewayUpstreams &candidates, double usual,
                                          TimePoint now)
{
    const auto best = std::min_element(candidates.begin(), candidates.end(),
                                       [&](const auto &a, const auto &b) {
                                           return a->cost(now, usual) < b->cost(now, usual);
                                       });
    return best == candidates.end() ? nullptr : *best;
}

} // namespace

double usualMilliseconds(const GatewayUpstreams &candidates)
{
    double sum = 0.0;
    std::size_t count = 0;
    for (const auto &candidate : candidates) {
        sum += candidate->measuredMilliseconds();
        count += candidate->measuredMilliseconds() > 0.0 ? 1 : 0;
    }
    return count == 0 ? GatewayUpstream::defaultServiceMilliseconds
                      : sum / static_cast<double>(count);
}

bool comparesAllUpstreams(std::size_t gatewayCount)
{
    return gatewayCount <= gatewaysWithFullKnowledge;
}

std::size_t sampleSize(std::size_t upstreamCount, std::size_t gatewayCount)
{
    if (comparesAllUpstreams(gatewayCount)) {
        return upstreamCount;
    }
    const std::size_t wanted = upstreamCount * gatewaysWithFullKnowledge / gatewayCount;
    return std::min(std::max(wanted, minSampleSize), upstreamCount);
}

std::shared_ptr<GatewayUpstream> chooseBySample(const GatewayUpstreams &candidates,
                                                std::size_t gatewayCount, TimePoint now,
                                                std::mt19937_64 &random)
{
    GatewayUpstreams near;
    GatewayUpstreams far;
    GatewayUpstreams suspected;
    for (const auto &candidate : candidates) {
        const bool isFar = candidate->distanceFromGateway() == Distance::OtherRegion;
        GatewayUpstreams &group = candidate->isSuspected(now) ? suspected : isFar ? far : near;
        group.push_back(candidate);
    }
    GatewayUpstreams sample;
    addSample(near, gatewayCount, random, sample);
    addSample(far, gatewayCount, random, sample);
    if (sample.empty()) {
        sample = std::move(suspected);
    }
    std::shuffle(sample.begin(), sample.end(), random); // among equals any may be the first
    return cheapest(sample, usualMilliseconds(candidates), now);
}

} // namespace cassiaroad
