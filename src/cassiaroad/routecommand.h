#pragma once

#include "cassiaroad/commandline.h"

namespace cassiaroad {

/**
 * Runs `cassiaroad route GATEWAY HOST PATH [KEY]`: asks a gateway where a request would go now, and
 * prints its answer.
 */
ExitStatus runRouteCommand(const CommandLine &line);

} // namespace cassiaroad
