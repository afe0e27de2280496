#pragma once

#include "gateway/gatewayupstream.h"

#include <memory>
#include <random>
#include <vector>

namespace cassiaroad {

using GatewayUpstreams = std::vector<std::shared_ptr<GatewayUpstream>>;

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
