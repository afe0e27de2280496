#pragma once

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cassiaroad {

/** Bytes of a Cap'n Proto message in the standard framing. Thread-safe. */
inline std::string toBytes(capnp::MessageBuilder &message)
{
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    const kj::ArrayPtr<const kj::byte> bytes = words.asBytes();
    return { reinterpret_cast<const char *>(bytes.begin()), bytes.size() };
}

/** Returns @p read called with the message in @p bytes; nothing if the bytes are not valid. */
template <typename Root, typename Read>
auto fromBytes(std::string_view bytes, Read read)
        -> std::optional<decltype(read(std::declval<typename Root::Reader>()))>
{
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) {
        return std::nullopt;
    }
    // Cap'n Proto reads aligned words.
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
    capnp::ReaderOptions options;
    options.traversalLimitInWords = 8 * words.size();
    std::optional<decltype(read(std::declval<typename Root::Reader>()))> result;
    const auto error = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader reader(words, options);
        result = read(reader.getRoot<Root>());
    });
    return error == nullptr ? std::move(result) : std::nullopt;
}

} // namespace cassiaroad
