#pragma once

#include "process/eventlog.h"
#include "version/registrystate.h"

namespace cassiaroad {

/**
 * Writes the event of a committed command, or one for each range that it transfers. @p outcome is
 * that of a configuration, @p state that after the command. Loop thread only.
 */
void logCommand(EventLog &log, const RegistryCommand &command, PutOutcome outcome,
                const RegistryState &state);

} // namespace cassiaroad
