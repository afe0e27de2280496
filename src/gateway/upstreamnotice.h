#pragma once

#include "connection/httpclient.h"
#include "version/externalcodec.h"

#include <optional>

namespace cassiaroad {

/** What an upstream tells the gateway about itself in a response to a request. */
struct UpstreamNotice
{
    bool isLeaving = false; // it shuts down soon
    // For so long it wants no further request from this gateway. Not bound to one request: it holds
    // for all of them.
    std::optional<Milliseconds> pause;

    bool operator==(const UpstreamNotice &) const = default;
};

/** Reads the notice in the headers of @p response. Pure; thread-safe. */
UpstreamNotice readNotice(const HttpResponse &response, const ExternalHeaders &names);

} // namespace cassiaroad
