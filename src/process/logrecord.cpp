#include "process/logrecord.h"

#include <cstring>
#include <xxhash.h>

namespace cassiaroad {

namespace {

constexpr std::uint32_t recordMagic = 0x52c5a7d1;

/** Layout in the file, in the byte order of the machine. */
struct Header
{
    std::uint32_t magic = recordMagic;
    std::uint32_t length = 0; // of the payload, in bytes
    std::uint64_t batch = 0;
    std::uint32_t remaining = 0;
    std::uint32_t kind = 0;
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::uint64_t checksum = 0; // XXH3 of the header before it and the payload
};
static_assert(sizeof(Header) == 48);

std::uint64_t checksumOf(const Header &header, std::string_view payload)
{
    const std::uint64_t seed = XXH3_64bits(&header, offsetof(Header, checksum));
    return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

} // namespace

void LogRecord::appendTo(std::string &out) const
{
    Header header;
    header.length = static_cast<std::uint32_t>(this->payload.size());
    header.batch = this->batch;
    header.remaining = this->remaining;
    header.kind = static_cast<std::uint32_t>(this->kind);
    header.index = this->index;
    header.term = this->term;
    header.checksum = checksumOf(header, this->payload);
    out.append(reinterpret_cast<const char *>(&header), sizeof(header));
    out += this->payload;
}

std::size_t LogRecord::encodedSize() const
{
    return sizeof(Header) + this->payload.size();
}

std::optional<LogRecord> LogRecord::read(std::string_view bytes, std::size_t offset)
{
    Header header;
    if (bytes.size() < offset + sizeof(header)) {
        return std::nullopt;
    }
    std::memcpy(&header, bytes.data() + offset, sizeof(header));
    const std::string_view rest = bytes.substr(offset + sizeof(header));
    if (header.magic != recordMagic || rest.size() < header.length) {
        return std::nullopt;
    }
    const std::string_view payload = rest.substr(0, header.length);
    if (header.checksum != checksumOf(header, payload)) {
        return std::nullopt;
    }
    return LogRecord { static_cast<Kind>(header.kind),
                       header.batch,
                       header.remaining,
                       header.index,
                       header.term,
                       std::string(payload) };
}

bool LogRecord::isFollowedByLaterBatch(std::string_view bytes, std::size_t offset,
                                       std::uint64_t batch)
{
    const std::string_view magic(reinterpret_cast<const char *>(&recordMagic), sizeof(recordMagic));
    for (std::size_t at = bytes.find(magic, offset); at != std::string_view::npos;
         at = bytes.find(magic, at + 1)) {
        const std::optional<LogRecord> record = read(bytes, at);
        if (record && record->batch > batch) {
            return true;
        }
    }
    return false;
}

} // namespace cassiaroad
