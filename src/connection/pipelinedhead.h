#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Head of an HTTP/1.1 request without a body that may be handled before its turn. */
struct PipelinedHead
{
    std::string bytes; // as received, with the names of headers in lower case
    std::uint64_t connection = 0; // see HttpExchange::connectionId()
    std::string method;
    std::string path; // with query
    std::string host;
    // In the order of arrival; without Host and Content-Length, which h2o does not hand on either.
    std::vector<std::pair<std::string, std::string>> headers;

    bool operator==(const PipelinedHead &) const = default;
};

/** More bytes are needed to tell whether there is a PipelinedHead. */
struct IncompleteHead
{
    bool operator==(const IncompleteHead &) const = default;
};

/**
 * The request has a body, a body of unknown length, an upgrade, another version of HTTP, ends its
 * connection, or is malformed: it is only handled when its turn has come.
 */
struct UnfitHead
{
    bool operator==(const UnfitHead &) const = default;
};

using HeadAhead = std::variant<PipelinedHead, IncompleteHead, UnfitHead>;

/**
 * Reads the request head at the start of @p input. A head of more than @p maxBytes is unfit. Pure;
 * thread-safe.
 */
HeadAhead readHeadAhead(std::string_view input, std::size_t maxBytes);

/**
 * Returns @p head with the names of its headers in lower case. h2o changes them in its input, so
 * that heads can only be compared in this form. Pure; thread-safe.
 */
std::string normalizedHead(std::string_view head);

} // namespace cassiaroad
