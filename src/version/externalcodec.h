#pragma once

#include "version/siteconfiguration.h"
#include "version/upstreamreport.h"

#include <string_view>
#include <utility>
#include <variant>

namespace cassiaroad {

/** Names of the headers that clients, upstreams and operators use; lower case. */
struct ExternalHeaders
{
    std::string requestId; // of one attempt of a client; upstreams repeat it
    std::string deadline; // milliseconds that the client will wait
    std::string expectedUpstream; // id of the only upstream that is to run the request
    std::string upstreamId; // of the upstream that answers
    std::string upstreamLoad; // "running,waiting,slots"
    std::string notExecuted; // its presence says that the upstream did not run the request
    std::string key; // number of the request's key
    std::string baseVersion; // that a new configuration builds on

    bool operator==(const ExternalHeaders &) const = default;
};

// Calls that reach a control host.

struct HeartbeatCall
{
    UpstreamReport report;
};

struct LeaveCall
{
    UpstreamIncarnation life; // without a start time if the upstream does not tell it
};

struct PutConfigurationCall
{
    ConfigurationVersion base = 0;
    std::string document;
};

struct ReadConfigurationCall
{ };

/** The call is known but cannot be read. */
struct MalformedCall
{
    std::string reason;
};

struct UnknownCall
{ };

using ControlCall = std::variant<HeartbeatCall, LeaveCall, PutConfigurationCall,
                                 ReadConfigurationCall, MalformedCall, UnknownCall>;

/** A call as it arrived. */
struct ReceivedCall
{
    std::string_view method;
    std::string_view path;
    std::string_view baseVersion; // header; empty: absent
    std::string_view body;
};

/** A document that is no configuration. */
struct ConfigurationError
{
    std::string reason;

    bool operator==(const ConfigurationError &) const = default;
};

/**
 * Translates between the messages of the surroundings (clients' headers, heartbeats, operators'
 * calls) and the types of the program. Implementations hold no state and decide nothing.
 * Thread-safe.
 */
class ExternalCodec
{
public:
    virtual ~ExternalCodec() = default;

    virtual const ExternalHeaders &headers() const = 0;
    /** Path at which the balancer asks whether a gateway takes new connections. */
    virtual std::string_view readinessPath() const = 0;
    virtual ControlCall decodeCall(const ReceivedCall &call) const = 0;
    virtual std::string encodeHeartbeatResponse(const HeartbeatResponse &grant) const = 0;
    /** Reads a document; it is not checked, see findConfigurationError(). */
    virtual std::variant<SiteConfiguration, ConfigurationError> decodeConfiguration(
            std::string_view document) const = 0;
};

} // namespace cassiaroad
