#pragma once

#include "connection/httpserver.h"
#include "request/clientshares.h"
#include "version/crashledger.h"
#include "version/keyrange.h"

namespace cassiaroad {

/**
 * Returns the digest of what a request asks for: its method, host, path, credentials, body, and the
 * value of the header @p keyHeader. Headers that differ between repetitions of a request, such as
 * its id and its deadline, have no part in it. Loop thread only.
 */
RequestDigest digestOf(const HttpExchange &exchange, std::string_view keyHeader);

/**
 * Returns the client of a request: the one that its credentials name, on whatever connections it
 * sends its requests, or else its connection. Many clients may share an address, so the address
 * has no part in it. Loop thread only.
 */
ClientId clientOf(const HttpExchange &exchange);

/** Returns the id of the attempt to have the request with the id @p requestId run at @p upstream.
 */
AttemptId attemptIdOf(std::string_view requestId, const UpstreamIncarnation &upstream);

} // namespace cassiaroad
