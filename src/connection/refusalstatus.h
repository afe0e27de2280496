#pragma once

namespace cassiaroad {

constexpr int statusRequestTimeout = 408;
constexpr int statusMisdirected = 421;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

/**
 * Whether a response with this status promises its client that the request has not run and never
 * will. A client then sends a request again that must not run twice. Source: the protocol between
 * gateways and their clients. Thread-safe.
 */
constexpr bool promisesNotRun(int status)
{
    return status == statusRequestTimeout || status == statusMisdirected
           || status == statusTooManyRequests || status == statusUnavailable;
}

} // namespace cassiaroad
