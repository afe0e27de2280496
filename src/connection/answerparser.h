#pragma once

#include "connection/httpclient.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace cassiaroad {

/**
 * Reads one HTTP/1.1 answer from the bytes of a connection. The end of the answer must be marked by
 * Content-Length or chunks: a connection that closes proves nothing. Not thread-safe.
 */
class AnswerParser
{
public:
    enum class State {
        Head, // the head is incomplete
        Body, // the head is complete
        Complete,
        Invalid, // the bytes are no answer, or its end cannot be determined
    };

    /** @p isHead: the answer has no body because the request's method is HEAD. */
    AnswerParser(bool isHead, std::size_t maxBodyBytes);
    ~AnswerParser();
    AnswerParser(const AnswerParser &) = delete;
    AnswerParser &operator=(const AnswerParser &) = delete;

    /** Takes the next bytes. Precondition: neither Complete nor Invalid. */
    State feed(std::string_view bytes);

    /** Why the state is Invalid. */
    const std::string &reason() const;
    /** The answer as far as it has arrived. */
    HttpResponse &answer();
    bool hasHead() const;
    bool isChunked() const;
    /** Whether the connection may carry another request. Valid when complete. */
    bool keepsConnection() const;
    /** Whether bytes followed the end of the answer. Valid when complete. */
    bool hasTrailingBytes() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace cassiaroad
