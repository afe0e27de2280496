#include "connection/serverprobe.h"

#include "process/parsenumber.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <sys/socket.h>

#include <h2o.h>

namespace cassiaroad {

namespace {

constexpr std::size_t maxResponseBytes = std::size_t(16) * 1024;
constexpr std::size_t readBytes = 4096; // of one system call
// Of a server whose header cannot be read, which may be cold.
constexpr Milliseconds assumedWarmup { 1000 };
constexpr Milliseconds maxWarmup { 24LL * 3600 * 1000 };

Milliseconds readWarmup(std::string_view text)
{
    const std::optional<std::int64_t> count = parseNumber<std::int64_t>(text);
    if (!count || *count < 0) {
        return assumedWarmup;
    }
    return std::min(Milliseconds { *count }, maxWarmup);
}

} // namespace

struct ServerProbe::Callbacks
{
    static void onReadable(h2o_socket_t *socket, const char *error)
    {
        static_cast<ServerProbe *>(socket->data)->onReadable(error);
    }

    // A write error does not matter: the end of the connection is read.
    static void onWritten(h2o_socket_t * /*socket*/, const char * /*error*/) { }
};

ServerProbe::ServerProbe(h2o_socket_t *socket, const ConnectionProbe &probe,
                         std::function<void(ProbeResult)> done)
    : socket(socket)
    , head("GET " + probe.path + " HTTP/1.1\r\nhost: " + probe.host + "\r\n\r\n")
    , warmupHeader(probe.warmupHeader)
    , parser(false, maxResponseBytes)
    , done(std::move(done))
{
    this->parser.limitHeldBytes(maxResponseBytes);
    this->socket->data = this;
    h2o_iovec_t bytes = h2o_iovec_init(this->head.data(), this->head.size());
    h2o_socket_read_start(this->socket, &Callbacks::onReadable);
    h2o_socket_write(this->socket, &bytes, 1, &Callbacks::onWritten);
}

void ServerProbe::onReadable(const char *error)
{
    std::array<char, readBytes> buffer;
    while (error == nullptr) {
        const ssize_t count
                = recv(h2o_socket_get_fd(this->socket), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (count <= 0) {
            error = count == 0 ? h2o_socket_error_closed : h2o_socket_error_io;
            break;
        }
        if (this->parse({ buffer.data(), static_cast<std::size_t>(count) })) {
            return;
        }
    }
    this->finish(ProbeFailure { error });
}

// Parses bytes of the connection. Returns whether the probe has ended.
bool ServerProbe::parse(std::string_view bytes)
{
    switch (this->parser.feed(bytes)) {
    case ResponseParser::State::Invalid:
        this->finish(ProbeFailure { this->parser.reason() });
        return true;
    case ResponseParser::State::Complete:
        this->finish(this->response());
        return true;
    default:
        return false;
    }
}

// After a chunked response, a second one could follow unnoticed.
ProbeResponse ServerProbe::response()
{
    ProbeResponse result;
    result.isReusable = this->parser.isKeepAlive() && !this->parser.isChunked()
                        && !this->parser.hasTrailingBytes();
    for (const auto &[name, value] : this->parser.response().headers) {
        if (name == this->warmupHeader) {
            result.warmupLeft = readWarmup(value);
        }
    }
    return result;
}

void ServerProbe::finish(ProbeResult result)
{
    h2o_socket_read_stop(this->socket);
    const std::function<void(ProbeResult)> callback = std::move(this->done);
    callback(std::move(result));
}

} // namespace cassiaroad
