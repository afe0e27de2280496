#pragma once

#include "cassiaroad/commandline.h"

namespace cassiaroad {

/**
 * Runs `cassiaroad explain ID [FILE...]`: prints the history of a request from log files, or from
 * standard input.
 */
ExitStatus runExplainCommand(const CommandLine &line);

} // namespace cassiaroad
