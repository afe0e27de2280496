#pragma once

#include <array>
#include <string>
#include <string_view>

#include <openssl/evp.h>

namespace cassiaroad {

/** Computes the SHA-256 digest of text that is added in parts. Not thread-safe. */
class Digest
{
public:
    Digest()
        : context(EVP_MD_CTX_new())
    {
        EVP_DigestInit_ex(this->context, EVP_sha256(), nullptr);
    }
    ~Digest() { EVP_MD_CTX_free(this->context); }
    Digest(const Digest &) = delete;
    Digest &operator=(const Digest &) = delete;

    void add(std::string_view bytes)
    {
        EVP_DigestUpdate(this->context, bytes.data(), bytes.size());
    }

    /** Finishes the digest and returns it in lower-case hexadecimal. Call once, after all add(). */
    std::string hex()
    {
        std::array<unsigned char, EVP_MAX_MD_SIZE> bytes {};
        unsigned int size = 0;
        EVP_DigestFinal_ex(this->context, bytes.data(), &size);
        std::string text;
        for (unsigned int i = 0; i < size; ++i) {
            const char *digits = "0123456789abcdef";
            text += digits[bytes.at(i) >> 4];
            text += digits[bytes.at(i) & 15];
        }
        return text;
    }

    /** Returns the digest of @p text in lower-case hexadecimal. */
    static std::string of(std::string_view text)
    {
        Digest digest;
        digest.add(text);
        return digest.hex();
    }

private:
    EVP_MD_CTX *context;
};

} // namespace cassiaroad
