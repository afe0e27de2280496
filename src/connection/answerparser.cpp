#include "connection/answerparser.h"

#include "process/lowercase.h"

#include <http_parser.h>

namespace cassiaroad {

namespace {

constexpr int switchingProtocols = 101;
constexpr int noContent = 204;
constexpr int notModified = 304;
constexpr int skipBody = 1; // result of the callback at the end of the head

bool isInterim(int status)
{
    return status >= 100 && status < 200 && status != switchingProtocols;
}

} // namespace

struct AnswerParser::Private
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
        this->answer = {};
        this->inValue = false;
    }

    static Private *of(http_parser *parser) { return static_cast<Private *>(parser->data); }

    static int onField(http_parser *parser, const char *text, std::size_t size)
    {
        Private *d = of(parser);
        auto &headers = d->answer.headers;
        if (headers.empty() || d->inValue) {
            headers.emplace_back();
            d->inValue = false;
        }
        headers.back().first.append(lowerCase({ text, size }));
        return 0;
    }

    static int onValue(http_parser *parser, const char *text, std::size_t size)
    {
        Private *d = of(parser);
        d->inValue = true;
        d->answer.headers.back().second.append(text, size);
        return 0;
    }

    static int onHead(http_parser *parser)
    {
        Private *d = of(parser);
        d->answer.status = parser->status_code;
        if (isInterim(d->answer.status)) {
            return skipBody;
        }
        d->readFraming();
        return d->invalid.empty() ? (d->isHead ? skipBody : 0) : -1;
    }

    static int onBody(http_parser *parser, const char *bytes, std::size_t size)
    {
        Private *d = of(parser);
        if (d->answer.body.size() + size > d->maxBodyBytes) {
            d->invalid = "the answer is too large";
            return -1;
        }
        d->answer.body.append(bytes, size);
        return 0;
    }

    static int onComplete(http_parser *parser)
    {
        Private *d = of(parser);
        if (isInterim(d->answer.status)) {
            d->interimEnded = true;
        } else {
            d->complete = true;
            d->keeps = http_should_keep_alive(parser) != 0;
        }
        http_parser_pause(parser, 1);
        return 0;
    }

    void readFraming()
    {
        int lengths = 0;
        int encodings = 0;
        for (const auto &[name, value] : this->answer.headers) {
            lengths += name == "content-length" ? 1 : 0;
            encodings += name == "transfer-encoding" ? 1 : 0;
        }
        this->chunked = encodings > 0;
        const int status = this->answer.status;
        const bool mayHaveBody = !this->isHead && status != noContent && status != notModified;
        if (status == switchingProtocols || lengths + encodings > 1
            || (mayHaveBody && lengths + encodings == 0)) {
            this->invalid = "the end of the answer cannot be determined";
            return;
        }
        this->headComplete = true;
    }

    http_parser_settings settings {};
    http_parser parser {};
    bool isHead;
    std::size_t maxBodyBytes;
    HttpResponse answer;
    std::string invalid;
    bool inValue = false;
    bool headComplete = false;
    bool chunked = false;
    bool interimEnded = false;
    bool complete = false;
    bool keeps = false;
    bool trailing = false;
};

AnswerParser::AnswerParser(bool isHead, std::size_t maxBodyBytes)
    : d(std::make_unique<Private>(isHead, maxBodyBytes))
{ }

AnswerParser::~AnswerParser() = default;

AnswerParser::State AnswerParser::feed(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t used = http_parser_execute(&this->d->parser, &this->d->settings,
                                                     bytes.data(), bytes.size());
        bytes.remove_prefix(std::min(used, bytes.size()));
        if (this->d->complete) {
            this->d->trailing = !bytes.empty();
            return State::Complete;
        }
        if (this->d->interimEnded) {
            this->d->interimEnded = false;
            this->d->restart();
            continue;
        }
        if (HTTP_PARSER_ERRNO(&this->d->parser) != HPE_OK) {
            if (this->d->invalid.empty()) {
                this->d->invalid = http_errno_description(HTTP_PARSER_ERRNO(&this->d->parser));
            }
            return State::Invalid;
        }
    }
    return this->d->headComplete ? State::Body : State::Head;
}

const std::string &AnswerParser::reason() const
{
    return this->d->invalid;
}

HttpResponse &AnswerParser::answer()
{
    return this->d->answer;
}

bool AnswerParser::hasHead() const
{
    return this->d->headComplete;
}

bool AnswerParser::isChunked() const
{
    return this->d->chunked;
}

bool AnswerParser::keepsConnection() const
{
    return this->d->keeps;
}

bool AnswerParser::hasTrailingBytes() const
{
    return this->d->trailing;
}

} // namespace cassiaroad
