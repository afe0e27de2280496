#pragma once

#include "process/clock.h"

#include <cstdint>
#include <memory>

typedef struct st_h2o_socket_t h2o_socket_t;

namespace cassiaroad {

class H2oExchange;

/** What the server tracks of one accepted connection; reached through the socket's on_close data.
 */
struct ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
    void *server = nullptr;
    h2o_socket_t *socket = nullptr;
    TimePoint idleSince; // accepted, or the last exchange ended
    TimePoint receivingSince; // valid while a part of a request is buffered
    bool receiving = false;
    bool closing = false; // shut down by the server; a request that still arrives is dropped
    std::uint32_t openExchanges = 0;
    H2oExchange *watched = nullptr; // exchange that wants to know when the client goes
    bool watchedByPoll = false; // the client sent more data; its end is found by polling
};

} // namespace cassiaroad
