#pragma once

#include "process/sitesettings.h"
#include "version/externalcodec.h"

namespace cassiaroad {

/**
 * Runs `cassiaroad gateway` until SIGTERM or SIGINT and returns the exit status. @p settingsFile is
 * read again on SIGHUP and when it has changed.
 */
int runGatewayProcess(const SiteSettings &settings, const std::string &settingsFile,
                      const ExternalCodec &codec);

} // namespace cassiaroad
