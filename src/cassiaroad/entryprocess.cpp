#include "cassiaroad/entryprocess.h"

#include "cassiaroad/entryhost.h"
#include "process/log.h"

#include <csignal>

namespace cassiaroad {

int runEntryProcess(const Settings &settings)
{
    const Log log("entry");
    EventLoop loop;
    EntryHost host(loop, settings);
    const std::string failure = host.start();
    if (!failure.empty()) {
        log.error(failure);
        return 1;
    }
    log.info("serves callers on port " + std::to_string(host.callersPort()) + ", announcements on "
             + std::to_string(host.announcePort()) + ", health and metrics on "
             + std::to_string(host.adminPort()));
    for (const int signal : { SIGTERM, SIGINT }) {
        loop.onSignal(signal, [&] { host.stop([&loop] { loop.stop(); }); });
    }
    loop.run();
    log.info("stopped");
    return 0;
}

} // namespace cassiaroad
