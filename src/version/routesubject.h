#pragma once

#include "version/routetable.h"

#include <string>
#include <variant>

namespace cassiaroad {

/** A shard or a moved key; each has an owner of its own. */
using RouteSubject = std::variant<ShardRef, KeyRef>;

/** Returns the service of a subject. Thread-safe. */
const std::string &serviceOf(const RouteSubject &subject);

/** Returns "service/shard/7" or "service/key/name", for logs and error texts. Thread-safe. */
std::string toString(const RouteSubject &subject);

} // namespace cassiaroad
