#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cassiaroad {

/** Compresses @p text with zlib. Thread-safe. */
std::string packText(std::string_view text);

/**
 * Returns the text that packText() compressed; nothing if @p bytes are damaged or the text is
 * larger than 64 MiB. Thread-safe.
 */
std::optional<std::string> unpackText(std::string_view bytes);

} // namespace cassiaroad
