#pragma once

#include "digest.h"

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>

namespace cassiaroad {

/**
 * Stores uploads in a folder, each as a file with its bytes and a file with its full length. Not
 * thread-safe.
 */
class UploadStore
{
public:
    /** Creates @p folder if it does not exist. */
    explicit UploadStore(std::filesystem::path folder)
        : folder(std::move(folder))
    {
        std::filesystem::create_directories(this->folder);
    }

    /** Creates an upload of @p length bytes. Precondition: @p id is lower-case hexadecimal. */
    void create(const std::string &id, std::uint64_t length) const
    {
        const std::ofstream empty(this->data(id));
        std::ofstream(this->lengthFile(id)) << length;
    }

    /** Returns the full length of an upload, or nothing if the id is unknown. */
    std::optional<std::uint64_t> length(const std::string &id) const
    {
        std::uint64_t value = 0;
        std::ifstream stream(isId(id) ? this->lengthFile(id) : std::filesystem::path());
        if (!(stream >> value)) {
            return std::nullopt;
        }
        return value;
    }

    /** Returns the number of bytes stored so far. Precondition: the upload exists. */
    std::uint64_t offset(const std::string &id) const
    {
        return std::filesystem::file_size(this->data(id));
    }

    /** Appends bytes. Returns false if not all of them could be stored. */
    bool append(const std::string &id, std::string_view bytes) const
    {
        std::ofstream stream(this->data(id), std::ios::app | std::ios::binary);
        stream.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        stream.flush();
        return stream.good();
    }

    /** Returns the SHA-256 digest of the bytes stored so far. */
    std::string digest(const std::string &id) const
    {
        Digest digest;
        std::ifstream stream(this->data(id), std::ios::binary);
        std::string buffer(64UL * 1024, '\0');
        while (stream.read(buffer.data(), static_cast<std::streamsize>(buffer.size()))
               || stream.gcount() > 0) {
            digest.add({ buffer.data(), static_cast<std::size_t>(stream.gcount()) });
        }
        return digest.hex();
    }

private:
    static bool isId(const std::string &text)
    {
        return !text.empty() && text.find_first_not_of("0123456789abcdef") == std::string::npos;
    }

    std::filesystem::path data(const std::string &id) const { return this->folder / id; }
    std::filesystem::path lengthFile(const std::string &id) const
    {
        return this->folder / (id + ".length");
    }

    std::filesystem::path folder;
};

} // namespace cassiaroad
