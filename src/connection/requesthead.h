#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cassiaroad {

/** Returns the size of the request head at the start of @p input, or 0 if its end is missing. */
std::size_t findHeadEnd(std::string_view input);

/**
 * Returns the length of the body that a complete raw HTTP/1.1 request head tells, 0 if it has none;
 * nothing if the length is not known in advance or malformed. Thread-safe.
 */
std::optional<std::uint64_t> contentLength(std::string_view head);

/**
 * Whether the framing headers of a raw HTTP/1.1 request head contradict each other: both
 * Content-Length and Transfer-Encoding, or one of them twice. Two servers could then disagree about
 * where the request ends, which allows request smuggling. @p head starts with the request line;
 * bytes after the head are ignored. Thread-safe.
 */
bool hasAmbiguousLength(std::string_view head);

} // namespace cassiaroad
