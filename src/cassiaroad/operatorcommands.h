#pragma once

#include "cassiaroad/commandline.h"

namespace cassiaroad {

/**
 * The commands of operators. Each reads the settings file, sends a request to the control group,
 * and prints the response to standard output or errors to standard error. Precondition: the thread
 * has no EventLoop.
 */
ExitStatus runIntentCommand(const CommandLine &line);
ExitStatus runPlanCommand(const CommandLine &line);
ExitStatus runConfirmCommand(const CommandLine &line);
ExitStatus runRecordCommand(const CommandLine &line);
ExitStatus runStatusCommand(const CommandLine &line);

} // namespace cassiaroad
