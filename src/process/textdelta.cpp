#include "process/textdelta.h"

#include "process/textpack.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace cassiaroad {

namespace {

using nlohmann::json;

constexpr char partEnd = '}';

std::uint64_t digestOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::vector<std::string_view> partsOf(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const std::size_t end = text.find(partEnd);
        const std::size_t size = end == std::string_view::npos ? text.size() : end + 1;
        parts.push_back(text.substr(0, size));
        text.remove_prefix(size);
    }
    return parts;
}

std::string applySteps(std::string_view before, const json &steps)
{
    std::string text;
    for (const json &step : steps) {
        if (step.is_string()) {
            text += step.get_ref<const std::string &>();
            continue;
        }
        const auto from = step.at(0).get<std::size_t>();
        text += before.substr(std::min(from, before.size()), step.at(1).get<std::size_t>());
    }
    return text;
}

} // namespace

// A step is a part of the new text, or [offset, size] of a part of the previous text.
std::string textDelta(std::string_view before, std::string_view after)
{
    std::unordered_map<std::string_view, std::size_t> offsets;
    for (const std::string_view part : partsOf(before)) {
        offsets.try_emplace(part, static_cast<std::size_t>(part.data() - before.data()));
    }
    json steps = json::array();
    for (const std::string_view part : partsOf(after)) {
        const auto known = offsets.find(part);
        json *last = steps.empty() ? nullptr : &steps.back();
        if (known == offsets.end()) {
            if (last != nullptr && last->is_string()) {
                last->get_ref<std::string &>() += part;
            } else {
                steps.push_back(std::string(part));
            }
        } else if (last != nullptr && last->is_array()
                   && last->at(0).get<std::size_t>() + last->at(1).get<std::size_t>()
                              == known->second) {
            last->at(1) = last->at(1).get<std::size_t>() + part.size();
        } else {
            steps.push_back(json::array({ known->second, part.size() }));
        }
    }
    const std::vector<std::uint8_t> bytes
            = json::to_cbor(json::array({ digestOf(after), std::move(steps) }));
    return packText({ reinterpret_cast<const char *>(bytes.data()), bytes.size() });
}

std::optional<std::string> applyTextDelta(std::string_view before, std::string_view delta)
{
    const std::optional<std::string> bytes = unpackText(delta);
    if (!bytes) {
        return std::nullopt;
    }
    try {
        const json value = json::from_cbor(bytes->begin(), bytes->end());
        std::string text = applySteps(before, value.at(1));
        const bool digestMatches = digestOf(text) == value.at(0).get<std::uint64_t>();
        return digestMatches ? std::optional(std::move(text)) : std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace cassiaroad
