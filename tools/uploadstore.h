#pragma once

#include "digest.h"

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>

namespace cassiaroad {

/** Uploads in a folder: for each a file with its bytes and one with its length. Not thread-safe. */
class UploadStore
{
public:
    /** Creates @p folder if it is absent. */
    explicit UploadStore(std::filesystem::path folder)
        : folder(std::move(folder))
    {
        std::filesystem::create_directories(this->folder);
    }

    /** Begins an upload of @p length bytes. Precondition: isId(@p id). */
    void create(const std::string &id, std::uint64_t length) const
    {
        const std::ofstream empty(this->data(id));
        std::ofstream(this->lengthFile(id)) << length;
    }

    /** Length of an upload, or nothing if it is unknown. */
    std::optional<std::uint64_t> length(const std::string &id) const
    {
        std::uint64_t value = 0;
        std::ifstream stream(isId(id) ? this->lengthFile(id) : std::filesystem::path());
        if (!(stream >> value)) {
            return std::nullopt;
        }
        return value;
    }

    /** Bytes stored so far. Precondition: the upload is known. */
    std::uint64_t offset(const std::string &id) const
    {
        return std::filesystem::file_size(this->data(id));
    }

    /** Adds bytes at the end. Returns false if they could not be stored whole. */
    bool append(const std::string &id, std::string_view bytes) const
    {
        std::ofstream stream(this->data(id), std::ios::app | std::ios::binary);
        stream.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        stream.flush();
        return stream.good();
    }

    /** SHA-256 of the bytes stored so far. */
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
