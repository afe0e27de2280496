#pragma once

#include "gateway/gatewayupstream.h"

#include <memory>
#include <random>
#include <vector>

namespace cassiaroad {

using GatewayUpstreams = std::vector<std::shared_ptr<GatewayUpstream>>;

/**
 * Returns the mean duration of a request at the upstreams where one was measured. Without it, an
 * upstream that was never used would seem better than any other, even one in another region.
 */
double usualMilliseconds(const GatewayUpstreams &candidates);

/**
 * Whether a gateway compares all upstreams for each request. On larger sites it uses a subset of
 * them. Thread-safe.
 */
bool comparesAllUpstreams(std::size_t gatewayCount);

/**
 * Returns how many upstreams of a service without keys a gateway compares for one request, out of
 * @p upstreamCount. The more gateways there are, the older is what each knows of an upstream, and
 * all would send to the one that was least loaded a while ago. With two of them at random, the load
 * stays even however old the knowledge is. Thread-safe.
 */
std::size_t sampleSize(std::size_t upstreamCount, std::size_t gatewayCount);

/**
 * Returns the upstream with the lowest cost of a random sample, see sampleSize(), or null if there
 * is none. Upstreams in the gateway's region and in other regions are sampled separately, and
 * suspected ones are used only if there are no others.
 */
std::shared_ptr<GatewayUpstream> chooseBySample(const GatewayUpstreams &candidates,
                                                std::size_t gatewayCount, TimePoint now,
                                                std::mt19937_64 &random);

} // namespace cassiaroad
