#pragma once

#include "connection/httpclient.h"
#include "connection/responseparser.h"

#include <string_view>
#include <variant>

typedef struct st_h2o_socket_t h2o_socket_t;

namespace cassiaroad {

/** The server has responded to a probe. */
struct ProbeResponse
{
    bool isReusable = false; // requests may be written on the connection
    Milliseconds warmupLeft; // 0 without the header: only a cold server sends it

    bool operator==(const ProbeResponse &) const = default;
};

/** The server has closed the connection, or sent something else than a response. */
struct ProbeFailure
{
    std::string reason;

    bool operator==(const ProbeFailure &) const = default;
};

using ProbeResult = std::variant<ProbeResponse, ProbeFailure>;

/**
 * Sends a ConnectionProbe on a new connection and reads its response. There is no timeout: the
 * owner sets one. Loop thread only.
 */
class ServerProbe
{
public:
    /**
     * @p done is called once, unless the object is destroyed before; it may destroy the object.
     * Until then the callbacks of @p socket belong to it. The owner closes the socket.
     */
    ServerProbe(h2o_socket_t *socket, const ConnectionProbe &probe,
                std::function<void(ProbeResult)> done);
    ServerProbe(const ServerProbe &) = delete;
    ServerProbe &operator=(const ServerProbe &) = delete;

private:
    struct Callbacks;

    void onReadable(const char *error);
    bool parse(std::string_view bytes);
    ProbeResponse response();
    void finish(ProbeResult result);

    h2o_socket_t *socket;
    std::string head;
    std::string warmupHeader;
    ResponseParser parser;
    std::function<void(ProbeResult)> done;
};

} // namespace cassiaroad
