#include "connection/http2requestend.h"

#include "connection/requestreader.h"
#include "connection/serverconnection.h"

#include <charconv>
#include <new>
#include <utility>

#include <h2o.h>

namespace cassiaroad {

namespace {

/** An HTTP/2 request that the reader counts. */
struct CountedStream
{
    std::shared_ptr<ServerConnection> connection;
    std::uint32_t id;
};

std::uint32_t streamIdOf(h2o_req_t &request)
{
    const h2o_iovec_t text = request.conn->callbacks->log_.http2.stream_id(&request);
    std::uint32_t id = 0;
    std::from_chars(text.base, text.base + text.len, id);
    return id;
}

} // namespace

void notifyOfEnd(h2o_req_t &request)
{
    h2o_socket_t *socket = request.conn->callbacks->get_socket(request.conn);
    auto *connection = static_cast<ServerConnection *>(socket->on_close.data);
    void *memory = h2o_mem_alloc_shared(&request.pool, sizeof(CountedStream), [](void *pointer) {
        auto *attached = static_cast<CountedStream *>(pointer);
        const CountedStream stream = std::move(*attached);
        attached->~CountedStream();
        stream.connection->reader->onStreamEnded(*stream.connection, stream.id);
    });
    new (memory) CountedStream { connection->shared_from_this(), streamIdOf(request) };
}

} // namespace cassiaroad
