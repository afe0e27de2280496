#pragma once

#include "process/settings.h"
#include "version/rangetable.h"
#include "version/siteconfiguration.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace cassiaroad {

enum class UpstreamPhase {
    Ready,
    Draining, // gets no new work; still holds what it has not released
    Gone, // has deregistered
};

/** An upstream that has registered. */
struct SiteUpstream
{
    UpstreamIncarnation life;
    std::string service;
    HostAddress address;
    std::string zone;
    std::uint32_t slots = 1;
    UpstreamPhase phase = UpstreamPhase::Ready;

    bool operator==(const SiteUpstream &) const = default;
};

// Commands of the replicated log.

/** Puts a document in force if `base` is the current version; see RegistryState::apply(). */
struct PutConfiguration
{
    ConfigurationVersion version = 0;
    ConfigurationVersion base = 0;
    std::string document; // as the operator sent it, see packText()
    std::uint64_t digest = 0; // of the text that the operator sent

    bool operator==(const PutConfiguration &) const = default;
};

/** Gives a slot of the control group to the member at an address. */
struct AssignSlot
{
    std::uint32_t slot = 0;
    std::string ip;
    std::string replaces; // address that has the slot; empty: it is free

    bool operator==(const AssignSlot &) const = default;
};

/** Adds an upstream, or replaces the life that has the same id. */
struct RegisterSiteUpstream
{
    SiteUpstream upstream;

    bool operator==(const RegisterSiteUpstream &) const = default;
};

struct SetUpstreamPhase
{
    UpstreamIncarnation life;
    UpstreamPhase phase = UpstreamPhase::Draining;

    bool operator==(const SetUpstreamPhase &) const = default;
};

struct RemoveSiteUpstream
{
    UpstreamIncarnation life;

    bool operator==(const RemoveSiteUpstream &) const = default;
};

/** Changes owners of a service's ranges. */
struct TransferRanges
{
    std::string service;
    std::vector<RangeTransfer> transfers;

    bool operator==(const TransferRanges &) const = default;
};

using RegistryCommand = std::variant<PutConfiguration, AssignSlot, RegisterSiteUpstream,
                                     SetUpstreamPhase, RemoveSiteUpstream, TransferRanges>;

/** Returns the command for a document as an operator sent it. Thread-safe. */
PutConfiguration makePutConfiguration(ConfigurationVersion version, ConfigurationVersion base,
                                      const std::string &text);

std::string encodeCommand(const RegistryCommand &command);
/** Returns nothing if @p bytes are not a command. */
std::optional<RegistryCommand> decodeRegistryCommand(std::string_view bytes);

/** Outcome of PutConfiguration. */
enum class PutOutcome {
    Accepted,
    Repeated, // this document was accepted before
    Conflict, // another version is current
};

/** Replicated state of a control group whose upstreams hold key ranges. Not thread-safe. */
class RegistryState
{
public:
    /** Applies a committed command; the outcome is that of a PutConfiguration. */
    PutOutcome apply(const RegistryCommand &command);

    /** What apply() would return for @p put. */
    PutOutcome outcomeOf(const PutConfiguration &put) const;

    ConfigurationVersion version() const { return this->current; }
    /** See packText(). */
    const std::string &document() const { return this->currentDocument; }
    /** Ip addresses of the members by slot. */
    const std::map<std::uint32_t, std::string> &members() const { return this->memberIps; }
    /** By id. */
    const std::map<std::string, SiteUpstream> &upstreams() const { return this->upstreamMap; }
    const std::map<std::string, RangeTable> &ranges() const { return this->rangeTables; }
    /** The upstream with exactly this life, or null. */
    const SiteUpstream *find(const UpstreamIncarnation &life) const;

    std::string encode() const;
    /** Returns nothing if @p bytes are not a state. */
    static std::optional<RegistryState> decode(std::string_view bytes);

    bool operator==(const RegistryState &) const = default;

private:
    void applyCommand(const AssignSlot &command);
    void applyCommand(const RegisterSiteUpstream &command);
    void applyCommand(const SetUpstreamPhase &command);
    void applyCommand(const RemoveSiteUpstream &command);
    void applyCommand(const TransferRanges &command);

    ConfigurationVersion current = 0;
    std::string currentDocument;
    std::map<ConfigurationVersion, std::uint64_t> digests; // of every accepted document
    std::map<std::uint32_t, std::string> memberIps;
    std::map<std::string, SiteUpstream> upstreamMap;
    std::map<std::string, RangeTable> rangeTables; // by service
};

} // namespace cassiaroad
