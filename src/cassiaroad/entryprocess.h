#pragma once

#include "process/settings.h"

namespace cassiaroad {

/**
 * Runs an entry host until SIGTERM or SIGINT and then stops it gracefully. Returns the exit status:
 * 0 after a stop, 1 if a listener cannot be opened. Precondition: the role of @p settings is entry;
 * call once in a process.
 */
int runEntryProcess(const Settings &settings);

} // namespace cassiaroad
