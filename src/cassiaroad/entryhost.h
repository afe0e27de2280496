#pragma once

#include "process/eventloop.h"
#include "process/settings.h"

#include <functional>
#include <memory>
#include <string>

namespace cassiaroad {

/**
 * An entry host: its listeners for callers, announcements and administration, and the parts that
 * route requests, all on one event loop. Loop thread only.
 */
class EntryHost
{
public:
    /** Precondition: the role of @p settings is entry. @p loop must outlive the host. */
    EntryHost(EventLoop &loop, Settings settings);
    ~EntryHost();
    EntryHost(const EntryHost &) = delete;
    EntryHost &operator=(const EntryHost &) = delete;

    /** Opens the listeners and starts watching the control group. Returns "", or why it failed. */
    std::string start();

    /**
     * Stops gracefully: /healthz responds with 503 at once; after drain-wait-ms the listeners close
     * and connections are closed after their current request; then the session with the control
     * group is ended and @p done is called.
     */
    void stop(std::function<void()> done);

    /** Ports that were bound; they differ from the settings if those are 0. */
    std::uint16_t callersPort() const;
    std::uint16_t announcePort() const;
    std::uint16_t adminPort() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace cassiaroad
