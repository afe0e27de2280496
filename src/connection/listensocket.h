#pragma once

#include "process/settings.h"

#include <string>
#include <variant>

namespace cassiaroad {

/** Why an address cannot be listened on, with the address. */
struct ListenError
{
    std::string reason;

    bool operator==(const ListenError &) const = default;
};

/**
 * Opens a TCP socket that listens on @p address; port 0 picks a free one. Returns its descriptor,
 * which the caller closes. At most @p backlog connections wait to be accepted. Thread-safe.
 */
std::variant<int, ListenError> openListener(const HostAddress &address, int backlog);

} // namespace cassiaroad
