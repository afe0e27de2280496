#pragma once

#include "digest.h"
#include "toolsockets.h"

#include "connection/httpserver.h"
#include "process/clock.h"

#include <stdexcept>
#include <string>

#include <fcntl.h>
#include <nlohmann/json.hpp>

namespace cassiaroad {

/** Appends a JSON line to a file for each request that an upstream runs. Not thread-safe. */
class RequestJournal
{
public:
    /**
     * Opens @p path for appending. @p upstream is the name written into each line. Throws
     * std::runtime_error if the file cannot be opened.
     */
    RequestJournal(const std::string &path, std::string upstream)
        : file(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
        , upstream(std::move(upstream))
    {
        if (!this->file.isOpen()) {
            throw std::runtime_error("cannot open " + path + ": " + std::strerror(errno));
        }
    }

    /**
     * Writes the line of a request that starts to run and will be answered with @p status. The time
     * is that of the monotonic clock, which all processes of a machine share. Throws
     * std::runtime_error if the line cannot be written.
     */
    void add(const HttpExchange &exchange, const std::string &key, int status,
             std::int64_t serviceMs) const
    {
        const nlohmann::json line { { "time", Clock::now().sinceOrigin },
                                    { "upstream", this->upstream },
                                    { "key", key },
                                    { "grant", exchange.header("cassiaroad-grant") },
                                    { "request", exchange.header("request-id") },
                                    { "idempotency_key", exchange.header("idempotency-key") },
                                    { "method", exchange.method() },
                                    { "path", exchange.path() },
                                    { "body_digest", Digest::of(exchange.body()).substr(0, 16) },
                                    { "deadline_ms", exchange.header("cassiaroad-deadline-ms") },
                                    { "traceparent", exchange.header("traceparent") },
                                    { "service_ms", serviceMs },
                                    { "answer", status } };
        const std::string text = line.dump() + "\n";
        if (write(this->file.get(), text.data(), text.size())
            != static_cast<ssize_t>(text.size())) {
            throw std::runtime_error(std::string("cannot write the journal: ")
                                     + std::strerror(errno));
        }
    }

private:
    Descriptor file;
    std::string upstream;
};

} // namespace cassiaroad
