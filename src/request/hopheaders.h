#pragma once

#include "request/deadline.h"
#include "request/router.h"
#include "request/tracecontext.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cassiaroad {

using HeaderViews = std::vector<std::pair<std::string_view, std::string_view>>;
using Headers = std::vector<std::pair<std::string, std::string>>;

/** Selects and adds the headers for the next hop of a request or response. Pure; thread-safe. */
class HopHeaders
{
public:
    /**
     * Returns the end-to-end headers of a caller's request (lower-case names): without hop-by-hop
     * headers, those named by Connection, traceparent and all Cassiaroad-* headers. Returns nothing
     * if a name or value contains characters that could start another header or request.
     */
    static std::optional<Headers> endToEnd(const HeaderViews &received);

    /**
     * Adds the headers for an upstream: grant, key, deadline, trace, and the number of the request,
     * which it may repeat in its response (design, section 6.6).
     */
    static void addForUpstream(Headers &headers, const Target &target, const Owner &owner,
                               Milliseconds timeLeft, const TraceContext &trace,
                               const std::string &requestNumber);

    /** Adds the headers for an entry host of another region: hop mark, deadline and trace. */
    static void addForRegion(Headers &headers, const Deadline &deadline, TimePoint now,
                             const TraceContext &trace);

    /**
     * Returns the headers of a response that are passed on to the caller: without hop-by-hop
     * headers and without Cassiaroad-* headers, which only entry hosts set.
     */
    static Headers ofResponse(const Headers &received);

    /** Returns the first value of a header, or "". Names are stored in lower case. */
    static std::string_view find(const Headers &headers, std::string_view lowerCaseName);
};

} // namespace cassiaroad
