#include "process/textpack.h"

#include <cstdint>

#include <zlib.h>

namespace cassiaroad {

namespace {

constexpr std::size_t sizeFieldBytes = 4; // little-endian size of the text, before the zlib data
constexpr std::size_t maxTextBytes = std::size_t(64) * 1024 * 1024;

} // namespace

std::string packText(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::string bytes(sizeFieldBytes + size, '\0');
    for (std::size_t i = 0; i < sizeFieldBytes; ++i) {
        bytes[i] = static_cast<char>((text.size() >> (8 * i)) & 0xffU);
    }
    compress2(reinterpret_cast<Bytef *>(bytes.data() + sizeFieldBytes), &size,
              reinterpret_cast<const Bytef *>(text.data()), text.size(), Z_BEST_SPEED);
    bytes.resize(sizeFieldBytes + size);
    return bytes;
}

std::optional<std::string> unpackText(std::string_view bytes)
{
    if (bytes.size() < sizeFieldBytes) {
        return std::nullopt;
    }
    std::size_t size = 0;
    for (std::size_t i = 0; i < sizeFieldBytes; ++i) {
        size |= static_cast<std::size_t>(static_cast<std::uint8_t>(bytes[i])) << (8 * i);
    }
    if (size > maxTextBytes) {
        return std::nullopt;
    }
    std::string text(size, '\0');
    uLongf length = size;
    const int result = uncompress(reinterpret_cast<Bytef *>(text.data()), &length,
                                  reinterpret_cast<const Bytef *>(bytes.data() + sizeFieldBytes),
                                  bytes.size() - sizeFieldBytes);
    if (result != Z_OK || length != size) {
        return std::nullopt;
    }
    return text;
}

} // namespace cassiaroad
