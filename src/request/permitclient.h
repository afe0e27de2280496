#pragma once

#include "version/coldpermits.h"

#include <map>
#include <optional>
#include <string>

namespace cassiaroad {

/** Why no permit is asked for. */
struct PermitRefusal
{
    Milliseconds retryAfter; // until one may be asked for
    // The leader has told that time, so that it will probably grant one then. Otherwise the leader
    // could not be reached.
    bool isPromising = false;

    bool operator==(const PermitRefusal &) const = default;
};

/**
 * Permits for requests to cold upstreams: those that a gateway holds, and those that it asks the
 * leader for. Requests that need one at about the same time are asked for in one call; one call is
 * in progress at most, and the interval between calls grows with the number of gateways, so that
 * the load of the leader does not. Pure; not thread-safe.
 */
class PermitClient
{
public:
    /** @p gateway is the name under which this gateway reports to the leader. */
    explicit PermitClient(std::string gateway);

    /**
     * Sets the number of gateways of the site; at least 1. A new leader counts them anew, so that a
     * lower number counts after a while only.
     */
    void setGateways(std::uint32_t count, TimePoint now);

    /** Whether a permit for a request to @p address is there. */
    bool has(const HostAddress &address, TimePoint now) const;

    /**
     * Takes a permit for one request to @p address. Returns the time from which on its first byte
     * may no longer be written. Precondition: has().
     */
    TimePoint take(const HostAddress &address);

    /**
     * Asks for a permit for one more request to the upstream of @p service at @p address, unless
     * the leader has refused one for some time or could not be reached. Nothing: it is asked for,
     * and the reply to the next call or its failure decides.
     */
    std::optional<PermitRefusal> ask(const std::string &service, const HostAddress &address,
                                     TimePoint now);
    /** The request whose permit was asked for has ended; no call has been made since. */
    void withdraw(const HostAddress &address);
    /** Returns the time until ask() asks the leader for a permit of @p address; 0: at once. */
    Milliseconds refusedFor(const HostAddress &address, TimePoint now) const;

    /** Returns the time until takeCall() returns a call; nothing if none is due. */
    std::optional<Milliseconds> timeToCall(TimePoint now) const;
    /** Returns the call that is to be sent now; nothing if none is due. */
    std::optional<PermitRequest> takeCall(TimePoint now);
    /** Applies the reply to the call in progress. */
    void onReply(const PermitReply &reply, TimePoint now);
    /** The call in progress has no reply, or could not be sent since no leader is known. */
    void onFailure(TimePoint now);

private:
    /** Permits of one call for one address. */
    struct Held
    {
        std::uint32_t count = 0;
        TimePoint expiresAt;
    };

    /** State of one address. */
    struct Address
    {
        std::string service;
        std::uint32_t wanted = 0; // asked for by requests, not in a call yet
        std::uint32_t called = 0; // in the call in progress
        Held held;
        TimePoint refusedUntil;
        bool isRefusedByLeader = false;
    };

    void forgetIdle(TimePoint now);

    std::string gateway;
    std::uint32_t gateways = 1;
    TimePoint gatewaysUntil; // until then the number only grows
    std::map<HostAddress, Address> addresses;
    std::optional<TimePoint> callAskedAt; // of the call in progress
    TimePoint nextCallAt;
};

} // namespace cassiaroad
