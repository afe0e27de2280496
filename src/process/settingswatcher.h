#pragma once

#include "process/eventlog.h"
#include "process/eventloop.h"
#include "process/sitesettings.h"

#include <functional>

namespace cassiaroad {

/**
 * Reads the settings file again on SIGHUP and when its text has changed, and hands over what may
 * change while the process runs. A file with errors is logged and ignored. Loop thread only.
 */
class SettingsWatcher
{
public:
    SettingsWatcher(EventLoop &loop, std::string file, EventLog &log,
                    std::function<void(const SiteSettings &)> changed);

private:
    void check();
    void reload(const std::string &text);

    std::string file;
    EventLog &log;
    std::function<void(const SiteSettings &)> changed;
    std::string lastText;
    EventLoop::Timer timer;
};

} // namespace cassiaroad
