#include "gateway/requestdigest.h"

#include <xxhash.h>

namespace cassiaroad {

RequestDigest digestOf(const HttpExchange &exchange, std::string_view keyHeader)
{
    // Each part is hashed together with the digest of the parts before it, so that bytes which move
    // from one part to the next change the result.
    RequestDigest digest = 0;
    for (const std::string_view part :
         { exchange.method(), exchange.header("host"), exchange.path(), exchange.header(keyHeader),
           exchange.header("authorization"), exchange.header("cookie"), exchange.body() }) {
        digest = XXH3_64bits_withSeed(part.data(), part.size(), digest);
    }
    return digest;
}

ClientId clientOf(const HttpExchange &exchange)
{
    const std::string_view authorization = exchange.header("authorization");
    const std::string_view cookie = exchange.header("cookie");
    if (authorization.empty() && cookie.empty()) {
        return exchange.connectionId();
    }
    return XXH3_64bits_withSeed(cookie.data(), cookie.size(),
                                XXH3_64bits(authorization.data(), authorization.size()));
}

AttemptId attemptIdOf(std::string_view requestId, const UpstreamIncarnation &upstream)
{
    const XXH64_hash_t request = XXH3_64bits(requestId.data(), requestId.size());
    const auto seed = request + static_cast<XXH64_hash_t>(upstream.born);
    return XXH3_64bits_withSeed(upstream.id.data(), upstream.id.size(), seed);
}

} // namespace cassiaroad
