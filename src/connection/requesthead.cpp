#include "connection/requesthead.h"

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

} // namespace

bool hasAmbiguousLength(std::string_view head)
{
    int framingHeaders = 0;
    std::size_t position = 0;
    while (position < head.size()) {
        const std::size_t end = std::min(head.find('\n', position), head.size());
        std::string_view line = head.substr(position, end - position);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            break;
        }
        if (hasName(line, "content-length") || hasName(line, "transfer-encoding")) {
            ++framingHeaders;
        }
        position = end + 1;
    }
    return framingHeaders > 1;
}

} // namespace cassiaroad
