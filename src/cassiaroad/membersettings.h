#pragma once

#include "process/replica.h"
#include "process/settings.h"

#include <cstdint>
#include <map>

namespace cassiaroad {

/** Number of the member that @p settings describe. Precondition: the role is control. Thread-safe.
 */
std::uint32_t ownNumber(const Settings &settings);

/** RPC addresses of the other members of the group, by number. Thread-safe. */
std::map<std::uint32_t, HostAddress> peerAddresses(const Settings &settings);

/** Options of the member's replica. Thread-safe. */
ReplicaOptions replicaOptions(const Settings &settings);

} // namespace cassiaroad
