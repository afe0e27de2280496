#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cassiaroad {

/**
 * Returns a delta from which applyTextDelta() restores @p after, given @p before. It is short if
 * the texts share long parts, in any order. Texts are split after closing braces, so it suits JSON
 * documents. Thread-safe.
 */
std::string textDelta(std::string_view before, std::string_view after);

/**
 * Returns the text that textDelta() was made for; nothing if @p delta is damaged or was made for
 * another text than @p before. Thread-safe.
 */
std::optional<std::string> applyTextDelta(std::string_view before, std::string_view delta);

} // namespace cassiaroad
