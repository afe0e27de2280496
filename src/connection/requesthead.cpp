#include "connection/requesthead.h"

#include "process/parsenumber.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// Whether @p line is a header of that name; there may be white space before the colon.
bool hasName(std::string_view line, std::string_view lowerCaseName)
{
    if (line.size() <= lowerCaseName.size()) {
        return false;
    }
    const auto sameLetter = [](char a, char b) {
        return (a >= 'A' && a <= 'Z' ? static_cast<char>(a + ('a' - 'A')) : a) == b;
    };
    if (!std::equal(lowerCaseName.begin(), lowerCaseName.end(), line.begin(),
                    [&](char b, char a) { return sameLetter(a, b); })) {
        return false;
    }
    const char next = line[lowerCaseName.size()];
    return next == ':' || next == ' ' || next == '\t';
}

// Calls @p use with each line of the head, without its end.
template <typename Use>
void forEachHeaderLine(std::string_view head, Use use)
{
    std::size_t position = 0;
    while (position < head.size()) {
        const std::size_t end = std::min(head.find('\n', position), head.size());
        std::string_view line = head.substr(position, end - position);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            return;
        }
        use(line);
        position = end + 1;
    }
}

} // namespace

std::size_t findHeadEnd(std::string_view input)
{
    // "\n\r\n" or "\n\n" ends a head; h2o accepts both.
    for (std::size_t end = input.find('\n'); end != std::string_view::npos;
         end = input.find('\n', end + 1)) {
        const std::string_view rest = input.substr(end + 1);
        if (rest.starts_with("\r\n")) {
            return end + 3;
        }
        if (rest.starts_with("\n")) {
            return end + 2;
        }
    }
    return 0;
}

std::optional<std::uint64_t> contentLength(std::string_view head)
{
    std::optional<std::uint64_t> length = 0;
    forEachHeaderLine(head, [&](std::string_view line) {
        if (hasName(line, "transfer-encoding")) {
            length.reset();
        } else if (hasName(line, "content-length") && length) {
            std::string_view value = line.substr(std::min(line.find(':'), line.size() - 1) + 1);
            value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
            length = parseNumber<std::uint64_t>(value.substr(0, value.find_last_not_of(" \t") + 1));
        }
    });
    return length;
}

bool hasAmbiguousLength(std::string_view head)
{
    int framingHeaders = 0;
    forEachHeaderLine(head, [&](std::string_view line) {
        if (hasName(line, "content-length") || hasName(line, "transfer-encoding")) {
            ++framingHeaders;
        }
    });
    return framingHeaders > 1;
}

} // namespace cassiaroad
