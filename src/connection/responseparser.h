#pragma once

#include "connection/httpclient.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace cassiaroad {

/**
 * Incremental parser of one HTTP/1.1 response. Interim responses (1xx) are skipped. The end of the
 * body must be marked by Content-Length or chunked encoding: a closed connection doesn't prove that
 * the response is complete. Not thread-safe.
 */
class ResponseParser
{
public:
    enum class State {
        Head, // the head is incomplete
        Body, // the head is complete
        Complete,
        Invalid, // malformed or too large, or the end of the body cannot be determined
    };

    /** @p isHead: the request's method is HEAD, so the response has no body. */
    ResponseParser(bool isHead, std::size_t maxBodyBytes);
    ~ResponseParser();
    ResponseParser(const ResponseParser &) = delete;
    ResponseParser &operator=(const ResponseParser &) = delete;

    /** Sets the bound of heldBytes(). The bound of the body is that of the constructor. */
    void limitHeldBytes(std::size_t maxBytes);

    /** Bytes that the head and the body take in memory as far as they have arrived. */
    std::size_t heldBytes() const;

    /** Parses the next bytes of the connection. Precondition: neither Complete nor Invalid. */
    State feed(std::string_view bytes);

    /** Why the state is Invalid. */
    const std::string &reason() const;
    /** The response as far as it has arrived. */
    HttpResponse &response();
    /** Whether the head is complete and valid. */
    bool hasHead() const;
    /** Whether the body has a Transfer-Encoding. Valid when the head is complete. */
    bool isChunked() const;
    /** Whether the server keeps the connection open for another request. Valid when complete. */
    bool isKeepAlive() const;
    /** Whether bytes followed the end of the response. Valid when complete. */
    bool hasTrailingBytes() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace cassiaroad
