#pragma once

#include "assignment.h"
#include "baselines.h"
#include "cassiaroadpolicy.h"

#include <string>
#include <variant>

namespace cassiaroad::placement {

using Policy = std::variant<ModuloPolicy, RendezvousPolicy, BoundedLoadPolicy, GreedyPolicy,
                            ShardsOnlyPolicy, CassiaroadPolicy>;

/** Returns the name of a policy in the output. */
std::string nameOf(const Policy &policy);

/** Runs @p policy over the complete workload and returns its score. */
Score evaluate(const WorkloadSettings &settings, const Policy &policy);

} // namespace cassiaroad::placement
