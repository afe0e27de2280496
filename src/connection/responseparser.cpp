#include "connection/responseparser.h"

#include "process/lowercase.h"

#include <algorithm>
#include <climits>
#include <cstdint>

#include <http_parser.h>

namespace cassiaroad {

namespace {

constexpr int minStatus = 100;
constexpr int maxStatus = 599;
constexpr int switchingProtocols = 101;
constexpr int noContent = 204;
constexpr int notModified = 304;
// Servers send one or two interim responses; more come from a server that never sends its response.
constexpr int maxInterimResponses = 16;
// A header line of a few bytes takes 64 bytes or more in memory.
constexpr std::size_t maxHeaders = 256;
constexpr int skipBody = 1; // returned by on_headers_complete: the response has no body

bool isInterim(int status)
{
    return status >= 100 && status < 200 && status != switchingProtocols;
}

} // namespace

struct ResponseParser::Private
{
    Private(bool isHead, std::size_t maxBodyBytes)
        : isHead(isHead)
        , maxBodyBytes(maxBodyBytes)
    {
        http_parser_settings_init(&this->settings);
        this->settings.on_header_field = &Private::onField;
        this->settings.on_header_value = &Private::onValue;
        this->settings.on_headers_complete = &Private::onHead;
        this->settings.on_body = &Private::onBody;
        this->settings.on_message_complete = &Private::onComplete;
        this->restart();
    }

    void restart()
    {
        http_parser_init(&this->parser, HTTP_RESPONSE);
        this->parser.data = this;
        this->response = {};
        this->inValue = false;
        this->headBytes = 0;
    }

    std::size_t heldBytes() const { return this->headBytes + this->response.body.size(); }

    // Counts bytes of the head. Returns the result of the parser's callback.
    int growHead(std::size_t size)
    {
        this->headBytes += size;
        return this->heldBytes() <= this->maxHeldBytes ? 0 : this->rejectSize();
    }

    int rejectSize()
    {
        this->invalidReason = "the answer is too large";
        return -1;
    }

    static Private *privateOf(http_parser *parser) { return static_cast<Private *>(parser->data); }

    static int onField(http_parser *parser, const char *text, std::size_t size)
    {
        Private *d = privateOf(parser);
        auto &headers = d->response.headers;
        if (headers.empty() || d->inValue) {
            if (headers.size() >= maxHeaders) {
                d->invalidReason = "the answer has too many headers";
                return -1;
            }
            headers.emplace_back();
            d->inValue = false;
            d->headBytes += sizeof(headers.back());
        }
        headers.back().first.append(lowerCase({ text, size }));
        return d->growHead(size);
    }

    static int onValue(http_parser *parser, const char *text, std::size_t size)
    {
        Private *d = privateOf(parser);
        d->inValue = true;
        d->response.headers.back().second.append(text, size);
        return d->growHead(size);
    }

    static int onHead(http_parser *parser)
    {
        Private *d = privateOf(parser);
        d->response.status = parser->status_code;
        if (d->response.status < minStatus || d->response.status > maxStatus) {
            d->invalidReason = "the status is out of range";
            return -1;
        }
        if (isInterim(d->response.status)) {
            return skipBody;
        }
        d->readFraming();
        return d->invalidReason.empty() ? (d->isHead ? skipBody : 0) : -1;
    }

    static int onBody(http_parser *parser, const char *bytes, std::size_t size)
    {
        Private *d = privateOf(parser);
        if (d->response.body.size() + size > d->maxBodyBytes
            || d->heldBytes() + size > d->maxHeldBytes) {
            return d->rejectSize();
        }
        d->response.body.append(bytes, size);
        return 0;
    }

    static int onComplete(http_parser *parser)
    {
        Private *d = privateOf(parser);
        if (isInterim(d->response.status)) {
            d->interimEnded = true;
        } else {
            d->complete = true;
            d->keepAlive = http_should_keep_alive(parser) != 0;
        }
        http_parser_pause(parser, 1);
        return 0;
    }

    /** Determines how the end of the body is marked; the response is invalid if it isn't clear. */
    void readFraming()
    {
        int lengths = 0;
        int encodings = 0;
        for (const auto &[name, value] : this->response.headers) {
            lengths += name == "content-length" ? 1 : 0;
            encodings += name == "transfer-encoding" ? 1 : 0;
        }
        this->chunked = encodings > 0;
        const int status = this->response.status;
        const bool mayHaveBody = !this->isHead && status != noContent && status != notModified;
        if (status == switchingProtocols || lengths + encodings > 1
            || (mayHaveBody && lengths + encodings == 0)) {
            this->invalidReason = "the end of the answer cannot be determined";
            return;
        }
        if (mayHaveBody && this->parser.content_length != ULLONG_MAX
            && !this->hasRoomFor(this->parser.content_length)) {
            this->rejectSize();
            return;
        }
        this->headComplete = true;
    }

    bool hasRoomFor(std::uint64_t bodyBytes) const
    {
        return bodyBytes <= this->maxBodyBytes && this->headBytes <= this->maxHeldBytes
               && bodyBytes <= this->maxHeldBytes - this->headBytes;
    }

    http_parser_settings settings {};
    http_parser parser {};
    bool isHead;
    std::size_t maxBodyBytes;
    std::size_t maxHeldBytes = SIZE_MAX; // of the head and the body
    std::size_t headBytes = 0; // that the head takes in memory
    int interimResponses = 0;
    HttpResponse response;
    std::string invalidReason;
    bool inValue = false; // the last bytes belonged to a header's value, not to its name
    bool headComplete = false;
    bool chunked = false;
    bool interimEnded = false; // an interim response (1xx) is complete
    bool complete = false;
    bool keepAlive = false;
    bool trailing = false;
};

ResponseParser::ResponseParser(bool isHead, std::size_t maxBodyBytes)
    : d(std::make_unique<Private>(isHead, maxBodyBytes))
{ }

ResponseParser::~ResponseParser() = default;

void ResponseParser::limitHeldBytes(std::size_t maxBytes)
{
    this->d->maxHeldBytes = maxBytes;
}

std::size_t ResponseParser::heldBytes() const
{
    return this->d->heldBytes();
}

ResponseParser::State ResponseParser::feed(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t consumed = http_parser_execute(&this->d->parser, &this->d->settings,
                                                         bytes.data(), bytes.size());
        bytes.remove_prefix(std::min(consumed, bytes.size()));
        if (this->d->complete) {
            this->d->trailing = !bytes.empty();
            return State::Complete;
        }
        if (this->d->interimEnded) {
            this->d->interimEnded = false;
            this->d->restart();
            if (++this->d->interimResponses > maxInterimResponses) {
                this->d->invalidReason = "too many interim responses";
                return State::Invalid;
            }
            continue;
        }
        if (HTTP_PARSER_ERRNO(&this->d->parser) != HPE_OK) {
            if (this->d->invalidReason.empty()) {
                this->d->invalidReason
                        = http_errno_description(HTTP_PARSER_ERRNO(&this->d->parser));
            }
            return State::Invalid;
        }
    }
    return this->d->headComplete ? State::Body : State::Head;
}

const std::string &ResponseParser::reason() const
{
    return this->d->invalidReason;
}

HttpResponse &ResponseParser::response()
{
    return this->d->response;
}

bool ResponseParser::hasHead() const
{
    return this->d->headComplete;
}

bool ResponseParser::isChunked() const
{
    return this->d->chunked;
}

bool ResponseParser::isKeepAlive() const
{
    return this->d->keepAlive;
}

bool ResponseParser::hasTrailingBytes() const
{
    return this->d->trailing;
}

} // namespace cassiaroad
