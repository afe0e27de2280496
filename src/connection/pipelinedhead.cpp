#include "connection/pipelinedhead.h"

#include "connection/requesthead.h"
#include "process/lowercase.h"

#include <algorithm>
#include <array>

#include <http_parser.h>

namespace cassiaroad {

namespace {

constexpr std::size_t maxHeaders = 100; // h2o refuses more
constexpr unsigned short httpMajor = 1;
constexpr unsigned short httpMinor = 1;
// Headers that change the framing, the protocol or the end of the connection.
constexpr std::array<std::string_view, 5> unfitHeaders { "transfer-encoding", "upgrade", "expect",
                                                         "http2-settings", "proxy-connection" };

// Collects the parts of a head from http-parser.
struct HeadParts
{
    std::string url;
    std::vector<std::pair<std::string, std::string>> headers;
    bool inValue = false;
    bool complete = false;

    static HeadParts &of(http_parser *parser) { return *static_cast<HeadParts *>(parser->data); }

    static int onUrl(http_parser *parser, const char *text, std::size_t size)
    {
        of(parser).url.append(text, size);
        return 0;
    }

    static int onField(http_parser *parser, const char *text, std::size_t size)
    {
        HeadParts &parts = of(parser);
        if (parts.headers.empty() || parts.inValue) {
            parts.headers.emplace_back();
            parts.inValue = false;
        }
        parts.headers.back().first.append(lowerCase({ text, size }));
        return parts.headers.size() <= maxHeaders ? 0 : -1;
    }

    static int onValue(http_parser *parser, const char *text, std::size_t size)
    {
        HeadParts &parts = of(parser);
        parts.inValue = true;
        parts.headers.back().second.append(text, size);
        return 0;
    }

    static int onComplete(http_parser *parser)
    {
        of(parser).complete = true;
        return 0;
    }
};

// Parses a complete head with http-parser. Returns whether it is a request of HTTP/1.1 that ends
// with its head.
bool parse(std::string_view head, HeadParts &parts, std::string &method)
{
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = &HeadParts::onUrl;
    settings.on_header_field = &HeadParts::onField;
    settings.on_header_value = &HeadParts::onValue;
    settings.on_message_complete = &HeadParts::onComplete;
    http_parser parser;
    http_parser_init(&parser, HTTP_REQUEST);
    parser.data = &parts;
    const std::size_t parsed = http_parser_execute(&parser, &settings, head.data(), head.size());
    if (parsed != head.size() || HTTP_PARSER_ERRNO(&parser) != HPE_OK || !parts.complete
        || parser.upgrade != 0 || parser.http_major != httpMajor
        || parser.http_minor != httpMinor) {
        return false;
    }
    method = http_method_str(static_cast<http_method>(parser.method));
    return true;
}

// Whether h2o keeps the connection after a request with this header and reads no body.
bool isFit(const std::string &name, const std::string &value)
{
    if (name == "content-length") {
        return value == "0";
    }
    if (name == "connection") {
        return lowerCase(value) == "keep-alive";
    }
    return std::find(unfitHeaders.begin(), unfitHeaders.end(), name) == unfitHeaders.end();
}

// Moves Host and Content-Length out of the headers. Returns whether the request is fit.
bool takeFraming(HeadParts &parts, PipelinedHead &head)
{
    int hosts = 0;
    int lengths = 0;
    for (auto &[name, value] : parts.headers) {
        if (!isFit(name, value)) {
            return false;
        }
        if (name == "host") {
            ++hosts;
            head.host = std::move(value);
        } else if (name == "content-length") {
            ++lengths;
        } else {
            head.headers.emplace_back(std::move(name), std::move(value));
        }
    }
    return hosts == 1 && lengths <= 1 && !head.host.empty() && parts.url.starts_with('/');
}

// h2o refuses headers that go on in a further line.
bool hasFoldedLine(std::string_view head)
{
    return head.find("\n ") != std::string_view::npos
           || head.find("\n\t") != std::string_view::npos;
}

} // namespace

HeadAhead readHeadAhead(std::string_view input, std::size_t maxBytes)
{
    if (input.empty()) {
        return IncompleteHead {};
    }
    // h2o skips an empty line before a request, which is not part of its head.
    if (input.front() < 'A' || input.front() > 'Z') {
        return UnfitHead {};
    }
    const std::size_t size = findHeadEnd(input.substr(0, maxBytes));
    if (size == 0) {
        return input.size() < maxBytes ? HeadAhead(IncompleteHead {}) : HeadAhead(UnfitHead {});
    }
    const std::string_view bytes = input.substr(0, size);
    PipelinedHead head;
    HeadParts parts;
    if (hasFoldedLine(bytes) || !parse(bytes, parts, head.method) || !takeFraming(parts, head)) {
        return UnfitHead {};
    }
    head.bytes = normalizedHead(bytes);
    head.path = std::move(parts.url);
    return head;
}

std::string normalizedHead(std::string_view head)
{
    std::string result(head);
    bool inName = false; // the request line has none
    for (char &letter : result) {
        if (letter == '\n') {
            inName = true;
        } else if (letter == ':') {
            inName = false;
        } else if (inName && letter >= 'A' && letter <= 'Z') {
            letter = static_cast<char>(letter + ('a' - 'A'));
        }
    }
    return result;
}

} // namespace cassiaroad
