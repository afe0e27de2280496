#pragma once

#include "assignment.h"
#include "baselines.h"
#include "cassiaroadpolicy.h"

#include <string>
#include <variant>

namespace cassiaroad::placement {

using Policy = std::variant<ModuloPolicy, RendezvousPolicy, BoundedLoadPolicy, GreedyPolicy,
                            ShardsOnlyPolicy, CassiaroadPolicy>;

/** Name of a policy in tables. */
std::string nameOf(const Policy &policy);

/** Runs @p policy over the whole workload and scores it. */
Score evaluate(const WorkloadSettings &settings, const Policy &policy);

} // namespace cassiaroad::placement
