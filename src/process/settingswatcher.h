#pragma once

#include "process/eventlog.h"
#include "process/eventloop.h"
#include "process/sitesettings.h"

#include <functional>

namespace cassiaroad {

/**
 * Reads the settings file again every 2 s and on SIGHUP. If its text has changed, passes the new
 * settings to a callback, which applies those that may change while the process runs. A file with
 * errors is logged and ignored. Loop thread only.
 */
class SettingsWatcher
{
public:
    SettingsWatcher(EventLoop &loop, std::string file, EventLog &log,
                    std::function<void(const SiteSettings &)> onChanged);

private:
    void check();
    void reload(const std::string &text);

    std::string file;
    EventLog &log;
    std::function<void(const SiteSettings &)> onChanged;
    std::string lastText;
    EventLoop::Timer timer;
};

} // namespace cassiaroad
