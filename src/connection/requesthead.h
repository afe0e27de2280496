#pragma once

#include <string_view>

namespace cassiaroad {

/**
 * Whether the framing headers of a raw HTTP/1.1 request head contradict each other: both
 * Content-Length and Transfer-Encoding, or one of them twice. Two servers could then disagree about
 * where the request ends, which allows request smuggling. @p head starts with the request line;
 * bytes after the head are ignored. Thread-safe.
 */
bool hasAmbiguousLength(std::string_view head);

} // namespace cassiaroad
