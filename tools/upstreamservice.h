#pragma once

#include "requestjournal.h"
#include "uploadstore.h"

#include <map>
#include <random>

namespace cassiaroad {

/** Response of the test upstream to one request. */
struct UpstreamResponse
{
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/**
 * The service of the test upstream: counts POST requests by key, returns the count on GET, and
 * stores uploads with the tus 1.0 protocol below "/<service>/<key>/uploads". Not thread-safe.
 */
class UpstreamService
{
public:
    UpstreamService(std::string name, const std::string &storeFolder)
        : name(std::move(name))
        , store(storeFolder)
    { }

    /** Runs a request for @p key; @p subpath is the path after the key, without leading slash. */
    UpstreamResponse run(const HttpExchange &exchange, const std::string &key,
                         const std::string &subpath)
    {
        if (subpath == "uploads" && exchange.method() == "POST") {
            return this->createUpload(exchange);
        }
        if (subpath.starts_with("uploads/")) {
            return this->useUpload(exchange, subpath.substr(subpath.find('/') + 1));
        }
        if (exchange.method() == "POST") {
            ++this->posts[key];
            return this->report(201, key);
        }
        return this->report(200, key);
    }

private:
    UpstreamResponse report(int status, const std::string &key)
    {
        const nlohmann::json body { { "upstream", this->name },
                                    { "key", key },
                                    { "posts", this->posts[key] } };
        return { status, { { "content-type", "application/json" } }, body.dump() };
    }

    UpstreamResponse createUpload(const HttpExchange &exchange)
    {
        const std::string length(exchange.header("upload-length"));
        if (length.empty() || length.find_first_not_of("0123456789") != std::string::npos
            || length.size() > 15) {
            return { 400, { { "tus-resumable", "1.0.0" } }, "Upload-Length is missing\n" };
        }
        std::string id;
        while (id.size() < 24) {
            id += "0123456789abcdef"[this->random() % 16];
        }
        this->store.create(id, std::stoull(length));
        const std::string path(exchange.path());
        return { 201, { { "location", path + "/" + id }, { "tus-resumable", "1.0.0" } }, {} };
    }

    UpstreamResponse useUpload(const HttpExchange &exchange, const std::string &id)
    {
        const std::optional<std::uint64_t> length = this->store.length(id);
        if (!length) {
            return { 404, { { "tus-resumable", "1.0.0" } }, "no such upload\n" };
        }
        if (exchange.method() == "PATCH") {
            return this->appendChunk(exchange, id, *length);
        }
        const std::string offset = std::to_string(this->store.offset(id));
        std::vector<std::pair<std::string, std::string>> headers {
            { "tus-resumable", "1.0.0" },
            { "upload-offset", offset },
            { "upload-length", std::to_string(*length) },
            { "cache-control", "no-store" }
        };
        if (exchange.method() == "HEAD") {
            return { 200, headers, {} };
        }
        const nlohmann::json body { { "upstream", this->name },
                                    { "offset", this->store.offset(id) },
                                    { "length", *length },
                                    { "sha256", this->store.digest(id) } };
        headers.emplace_back("content-type", "application/json");
        return { 200, headers, body.dump() };
    }

    UpstreamResponse appendChunk(const HttpExchange &exchange, const std::string &id,
                                 std::uint64_t length) const
    {
        const std::uint64_t offset = this->store.offset(id);
        if (exchange.header("content-type") != "application/offset+octet-stream") {
            return { 415, { { "tus-resumable", "1.0.0" } }, {} };
        }
        if (exchange.header("upload-offset") != std::to_string(offset)) {
            return { 409, { { "tus-resumable", "1.0.0" } }, "another offset\n" };
        }
        const std::string_view chunk = exchange.body();
        if (chunk.size() > length - offset) {
            return { 413, { { "tus-resumable", "1.0.0" } }, "longer than Upload-Length\n" };
        }
        if (!this->store.append(id, chunk)) {
            return { 500, { { "tus-resumable", "1.0.0" } }, "not stored\n" };
        }
        const std::string next = std::to_string(offset + chunk.size());
        return { 204, { { "tus-resumable", "1.0.0" }, { "upload-offset", next } }, {} };
    }

    std::string name;
    UploadStore store;
    std::map<std::string, std::uint64_t> posts;
    std::random_device random;
};

} // namespace cassiaroad
