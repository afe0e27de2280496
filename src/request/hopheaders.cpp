#include "request/hopheaders.h"

#include "process/lowercase.h"

#include <algorithm>
#include <array>

namespace cassiaroad {

namespace {

constexpr std::string_view ownPrefix = "cassiaroad-";

constexpr std::array<std::string_view, 12> hopByHop {
    "connection", "keep-alive",     "proxy-authenticate", "proxy-authorization",
    "te",         "trailer",        "transfer-encoding",  "upgrade",
    "host",       "content-length", "proxy-connection",   "http2-settings",
};

bool isOneOf(std::string_view name, const auto &names)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool isTokenCharacter(char character)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9')
           || symbols.find(character) != std::string_view::npos;
}

bool isName(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter);
}

bool isValue(std::string_view value)
{
    return std::none_of(value.begin(), value.end(), [](char character) {
        return (character >= '\0' && character < ' ' && character != '\t') || character == '\x7f';
    });
}

// Adds the header names that are listed in the value of a Connection header.
void addListed(std::vector<std::string> &names, std::string_view value)
{
    while (!value.empty()) {
        const std::size_t comma = std::min(value.find(','), value.size());
        std::string_view name = value.substr(0, comma);
        const std::size_t first = std::min(name.find_first_not_of(" \t"), name.size());
        name.remove_prefix(first);
        name = name.substr(0, name.find_last_not_of(" \t") + 1);
        if (!name.empty()) {
            names.push_back(lowerCase(name));
        }
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
}

template <typename Received>
std::vector<std::string> namedByConnection(const Received &received)
{
    std::vector<std::string> names;
    for (const auto &[name, value] : received) {
        if (name == "connection") {
            addListed(names, value);
        }
    }
    return names;
}

} // namespace

std::optional<Headers> HopHeaders::endToEnd(const HeaderViews &received)
{
    const std::vector<std::string> listed = namedByConnection(received);
    Headers result;
    result.reserve(received.size() + 4);
    for (const auto &[name, value] : received) {
        if (!isName(name) || !isValue(value)) {
            return std::nullopt;
        }
        if (!isOneOf(name, hopByHop) && !isOneOf(name, listed) && !name.starts_with(ownPrefix)
            && name != "traceparent") {
            result.emplace_back(name, value);
        }
    }
    return result;
}

void HopHeaders::addForUpstream(Headers &headers, const Target &target, const Owner &owner,
                                Milliseconds timeLeft, const TraceContext &trace,
                                const std::string &requestNumber)
{
    const std::string epoch = std::to_string(owner.epoch);
    headers.emplace_back("cassiaroad-grant",
                         owner.movedKey ? "key/" + epoch
                                        : "shard/" + std::to_string(owner.shard) + "/" + epoch);
    headers.emplace_back("cassiaroad-key", target.key);
    headers.emplace_back("cassiaroad-deadline-ms", std::to_string(timeLeft.count));
    headers.emplace_back("cassiaroad-request", requestNumber);
    headers.emplace_back("traceparent", trace.header());
}

void HopHeaders::addForRegion(Headers &headers, const Deadline &deadline, TimePoint now,
                              const TraceContext &trace)
{
    headers.emplace_back("cassiaroad-hop", "1");
    if (!deadline.isUnlimited()) {
        headers.emplace_back("cassiaroad-deadline-ms",
                             std::to_string(deadline.timeLeft(now).count));
    }
    headers.emplace_back("traceparent", trace.header());
}

Headers HopHeaders::ofResponse(const Headers &received)
{
    const std::vector<std::string> listed = namedByConnection(received);
    Headers result;
    result.reserve(received.size() + 2);
    for (const auto &[name, value] : received) {
        // The server needs Content-Length for responses to HEAD; otherwise it sets the header
        // itself.
        const bool isLength = name == "content-length";
        if (isName(name) && isValue(value) && (isLength || !isOneOf(name, hopByHop))
            && !isOneOf(name, listed) && !name.starts_with(ownPrefix)) {
            result.emplace_back(name, value);
        }
    }
    return result;
}

std::string_view HopHeaders::find(const Headers &headers, std::string_view lowerCaseName)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto &header) {
        return header.first == lowerCaseName;
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

} // namespace cassiaroad
