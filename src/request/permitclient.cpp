#include "request/permitclient.h"

#include "version/sitewatch.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

// All gateways of a site together make at most one call per this time.
constexpr Milliseconds callIntervalPerGateway { 2 };
constexpr Milliseconds minCallInterval { 25 };
// How long a gateway asks for no permit of an address after a call without a reply.
constexpr Milliseconds failureDelay { 250 };
// Permits that a gateway asks for in one call for one address. Further requests come back later.
constexpr std::uint32_t maxAsked = 16;

} // namespace

PermitClient::PermitClient(std::string gateway)
    : gateway(std::move(gateway))
{ }

void PermitClient::setGateways(std::uint32_t count, TimePoint now)
{
    if (count >= this->gateways || now >= this->gatewaysUntil) {
        this->gateways = std::max<std::uint32_t>(count, 1);
        this->gatewaysUntil = now + gatewayCountLease;
    }
}

bool PermitClient::has(const HostAddress &address, TimePoint now) const
{
    const auto found = this->addresses.find(address);
    return found != this->addresses.end() && found->second.held.count > 0
           && now < found->second.held.expiresAt;
}

TimePoint PermitClient::take(const HostAddress &address)
{
    Held &held = this->addresses.at(address).held;
    --held.count;
    return held.expiresAt;
}

std::optional<PermitRefusal> PermitClient::ask(const std::string &service,
                                               const HostAddress &address, TimePoint now)
{
    const Milliseconds refused = this->refusedFor(address, now);
    Address &entry = this->addresses[address];
    if (refused > Milliseconds {}) {
        return PermitRefusal { refused, entry.isRefusedByLeader };
    }
    if (entry.wanted + entry.called >= maxAsked) {
        return PermitRefusal { failureDelay, false };
    }
    entry.service = service;
    ++entry.wanted;
    return std::nullopt;
}

void PermitClient::withdraw(const HostAddress &address)
{
    const auto found = this->addresses.find(address);
    if (found != this->addresses.end() && found->second.wanted > 0) {
        --found->second.wanted;
    }
}

Milliseconds PermitClient::refusedFor(const HostAddress &address, TimePoint now) const
{
    const auto found = this->addresses.find(address);
    return found == this->addresses.end() ? Milliseconds {}
                                          : std::max(found->second.refusedUntil - now, {});
}

std::optional<Milliseconds> PermitClient::timeToCall(TimePoint now) const
{
    const bool isWanted = std::any_of(this->addresses.begin(), this->addresses.end(),
                                      [](const auto &entry) { return entry.second.wanted > 0; });
    if (this->callAskedAt || !isWanted) {
        return std::nullopt;
    }
    return std::max(this->nextCallAt - now, Milliseconds {});
}

std::optional<PermitRequest> PermitClient::takeCall(TimePoint now)
{
    if (this->timeToCall(now) != Milliseconds {}) {
        return std::nullopt;
    }
    this->forgetIdle(now);
    PermitRequest request { this->gateway, {} };
    for (auto &[address, entry] : this->addresses) {
        if (entry.wanted > 0) {
            entry.called = std::exchange(entry.wanted, 0);
            request.asks.push_back({ entry.service, address, entry.called });
        }
    }
    this->callAskedAt = now;
    this->nextCallAt = now + std::max(callIntervalPerGateway * this->gateways, minCallInterval);
    return request;
}

void PermitClient::onReply(const PermitReply &reply, TimePoint now)
{
    if (!this->callAskedAt) {
        return;
    }
    for (const PermitGrant &grant : reply.grants) {
        const auto found = this->addresses.find(grant.address);
        if (found == this->addresses.end() || found->second.called == 0) {
            continue;
        }
        Address &entry = found->second;
        const std::uint32_t called = std::exchange(entry.called, 0);
        // Permits of an earlier call that are left were not used in time for their requests.
        entry.held = { std::min(grant.count, called), *this->callAskedAt + coldPermitLifetime };
        entry.refusedUntil
                = grant.retryAfter > Milliseconds {} ? now + grant.retryAfter : TimePoint {};
        entry.isRefusedByLeader = true;
    }
    this->onFailure(now); // of the asks without a grant
}

void PermitClient::onFailure(TimePoint now)
{
    this->callAskedAt.reset();
    for (auto &[address, entry] : this->addresses) {
        if (std::exchange(entry.called, 0) > 0) {
            entry.refusedUntil = now + failureDelay;
            entry.isRefusedByLeader = false;
        }
    }
}

void PermitClient::forgetIdle(TimePoint now)
{
    std::erase_if(this->addresses, [now](const auto &entry) {
        const Address &address = entry.second;
        const bool isHeld = address.held.count > 0 && now < address.held.expiresAt;
        return address.wanted == 0 && !isHeld && now >= address.refusedUntil;
    });
}

} // namespace cassiaroad
