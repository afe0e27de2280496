#pragma once

#include "version/routetable.h"

#include <string>
#include <variant>

namespace cassiaroad {

/** What has an owner of its own: a shard or a moved key. */
using RouteSubject = std::variant<ShardRef, KeyRef>;

/** Returns the service a subject belongs to. Thread-safe. */
const std::string &serviceOf(const RouteSubject &subject);

/** Returns "service/shard/7" or "service/key/name", for logs and reasons. Thread-safe. */
std::string toString(const RouteSubject &subject);

} // namespace cassiaroad
