#pragma once

#include "process/settings.h"
#include "version/memberlist.h"
#include "version/rangetable.h"
#include "version/siteconfiguration.h"
#include "version/zoneevacuations.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace cassiaroad {

/** Stage of a registered upstream. */
enum class UpstreamPhase {
    Ready, // may be assigned keys
    Draining, // is assigned no more keys; owns those that it has not released yet
    Gone, // has deregistered
};

/** A registered upstream. */
struct SiteUpstream
{
    UpstreamIncarnation incarnation;
    std::string service;
    HostAddress address;
    std::string zone;
    std::uint32_t slots = 1;
    UpstreamPhase phase = UpstreamPhase::Ready;

    bool operator==(const SiteUpstream &) const = default;
};

/**
 * Whether @p upstream may be given work, so that it is assigned keys and keeps those that it owns,
 * and is sent requests that no key binds to it. Thread-safe.
 */
inline bool mayBeGivenWork(const SiteUpstream &upstream, bool isZoneEvacuated)
{
    return upstream.phase == UpstreamPhase::Ready && !isZoneEvacuated;
}

// Commands of the replicated log.

/**
 * Makes a configuration document the current one if `base` is the current version; see
 * RegistryState::outcomeOf().
 */
struct PutConfiguration
{
    ConfigurationVersion version = 0;
    ConfigurationVersion base = 0;
    std::string document; // as the operator sent it, see packText()
    std::uint64_t digest = 0; // of the text before packText()

    bool operator==(const PutConfiguration &) const = default;
};

/** Assigns a slot of the control group to the member at an IP address. */
struct AssignSlot
{
    std::uint32_t slot = 0;
    std::string ip;
    std::string replaces; // IP address that has the slot now; empty: none

    bool operator==(const AssignSlot &) const = default;
};

/** Adds an upstream, or replaces an earlier incarnation of the same id. */
struct RegisterSiteUpstream
{
    SiteUpstream upstream;

    bool operator==(const RegisterSiteUpstream &) const = default;
};

/** Sets the phase of an upstream, if `incarnation` is its present one. */
struct SetUpstreamPhase
{
    UpstreamIncarnation incarnation;
    UpstreamPhase phase = UpstreamPhase::Draining;

    bool operator==(const SetUpstreamPhase &) const = default;
};

/** Removes an upstream, if `incarnation` is its present one. */
struct RemoveSiteUpstream
{
    UpstreamIncarnation incarnation;

    bool operator==(const RemoveSiteUpstream &) const = default;
};

/** Transfers ranges of a service to new owners. */
struct TransferRanges
{
    std::string service;
    std::vector<RangeTransfer> transfers;

    bool operator==(const TransferRanges &) const = default;
};

/** Starts or ends the evacuation of an availability zone. */
struct OrderEvacuation
{
    EvacuationChange order;

    bool operator==(const OrderEvacuation &) const = default;
};

using RegistryCommand
        = std::variant<PutConfiguration, AssignSlot, RegisterSiteUpstream, SetUpstreamPhase,
                       RemoveSiteUpstream, TransferRanges, OrderEvacuation>;

/** Returns the command for the text of a configuration document. Thread-safe. */
PutConfiguration makePutConfiguration(ConfigurationVersion version, ConfigurationVersion base,
                                      const std::string &text);

std::string encodeCommand(const RegistryCommand &command);
/** Returns nothing if @p bytes do not encode a command. */
std::optional<RegistryCommand> decodeRegistryCommand(std::string_view bytes);

/** Outcome of PutConfiguration. */
enum class PutOutcome {
    Accepted,
    Repeated, // the same document was accepted before with this version
    Conflict, // the base is not the current version, or the version is not above it
};

/** Replicated state of a control group whose upstreams own key ranges. Not thread-safe. */
class RegistryState
{
public:
    /** Applies a committed command. Returns the outcome of a PutConfiguration, else Accepted. */
    PutOutcome apply(const RegistryCommand &command);

    /** Returns what apply() would return for @p put. */
    PutOutcome outcomeOf(const PutConfiguration &put) const;

    ConfigurationVersion version() const { return this->current; }
    /** Current configuration document; see packText(). */
    const std::string &document() const { return this->currentDocument; }
    /** IP addresses of the members by slot. */
    const std::map<std::uint32_t, std::string> &members() const { return this->memberList.ips; }
    /** The same, with the order of the list. */
    const MemberList &orderedMembers() const { return this->memberList; }
    /** Upstreams by id. */
    const std::map<std::string, SiteUpstream> &upstreams() const { return this->upstreamMap; }
    /** Owners of the ranges by service. */
    const std::map<std::string, RangeTable> &ranges() const { return this->rangeTables; }
    /** Zones whose upstreams get no work. */
    const ZoneEvacuations &evacuations() const { return this->zoneEvacuations; }
    /** Whether @p upstream, registered or not, may be given work. */
    bool mayBeGivenWork(const SiteUpstream &upstream) const
    {
        return cassiaroad::mayBeGivenWork(upstream, this->zoneEvacuations.contains(upstream.zone));
    }
    /** Returns the upstream with exactly this incarnation, or null. */
    const SiteUpstream *find(const UpstreamIncarnation &incarnation) const;

    /** Returns the state as bytes, for a snapshot. */
    std::string encode() const;
    /** Returns nothing if @p bytes do not encode a state. */
    static std::optional<RegistryState> decode(std::string_view bytes);

    bool operator==(const RegistryState &) const = default;

private:
    void applyCommand(const AssignSlot &command);
    void applyCommand(const RegisterSiteUpstream &command);
    void applyCommand(const SetUpstreamPhase &command);
    void applyCommand(const RemoveSiteUpstream &command);
    void applyCommand(const TransferRanges &command);
    void applyCommand(const OrderEvacuation &command);

    ConfigurationVersion current = 0;
    std::string currentDocument;
    std::map<ConfigurationVersion, std::uint64_t> digests; // of every accepted document
    MemberList memberList;
    std::map<std::string, SiteUpstream> upstreamMap;
    std::map<std::string, RangeTable> rangeTables; // by service
    ZoneEvacuations zoneEvacuations;
};

} // namespace cassiaroad
