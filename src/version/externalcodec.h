#pragma once

#include "version/leasecall.h"
#include "version/siteconfiguration.h"
#include "version/upstreamreport.h"
#include "version/zoneevacuations.h"

#include <string_view>
#include <utility>
#include <variant>

namespace cassiaroad {

/** Names of the headers that clients, upstreams and operators use; lower case. */
struct ExternalHeaders
{
    std::string requestId; // of one attempt of a client; upstreams return it in the response
    std::string deadline; // time in milliseconds that the client will wait
    std::string expectedUpstream; // id of the only upstream that may run the request
    std::string upstreamId; // of the upstream that responds
    std::string upstreamLoad; // "running,waiting,slots"
    std::string notExecuted; // present if the upstream did not run the request
    std::string key; // number of the request's key
    std::string baseVersion; // configuration version that a new configuration is based on
    std::string handover; // of a released range; empty: calls deliver no leases
    std::string upstreamLeaving; // "1" in each response of an upstream that shuts down soon
    // In responses at the health path of a service: milliseconds until the upstream is no longer
    // cold. Empty: upstreams do not tell it.
    std::string warmupLeft;

    bool operator==(const ExternalHeaders &) const = default;
};

// Calls that operators and upstreams make to a control host.

/** Heartbeat of an upstream. */
struct HeartbeatCall
{
    UpstreamReport report;
};

/** An upstream announces that it shuts down. */
struct LeaveCall
{
    UpstreamIncarnation incarnation; // start time 0 if the upstream does not send it
};

/** An operator puts a new configuration. */
struct PutConfigurationCall
{
    ConfigurationVersion base = 0;
    std::string document;
};

/** An operator reads the configuration. */
struct ReadConfigurationCall
{ };

/** An operator starts or ends the evacuation of an availability zone. */
struct EvacuationCall
{
    EvacuationChange order;
};

/** A call with a known method and path whose content is invalid. */
struct MalformedCall
{
    std::string reason;
};

/** A call with an unknown method or path. */
struct UnknownCall
{ };

using ControlCall = std::variant<HeartbeatCall, LeaveCall, PutConfigurationCall,
                                 ReadConfigurationCall, EvacuationCall, MalformedCall, UnknownCall>;

/** A call before it is decoded. */
struct ReceivedCall
{
    std::string_view method;
    std::string_view path;
    std::string_view baseVersion; // value of the header; empty: absent
    std::string_view body;
};

/** A LeaseCall as an HTTP request. */
struct EncodedLeaseCall
{
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    bool operator==(const EncodedLeaseCall &) const = default;
};

/** Why a document is not a configuration. */
struct ConfigurationError
{
    std::string reason;

    bool operator==(const ConfigurationError &) const = default;
};

/**
 * Translates between the messages of clients, upstreams and operators (headers, heartbeats and
 * calls) and the types of the program. Implementations are stateless and make no decisions.
 * Thread-safe.
 */
class ExternalCodec
{
public:
    virtual ~ExternalCodec() = default;

    virtual const ExternalHeaders &headers() const = 0;
    /** Path at which the load balancer checks whether a gateway accepts new connections. */
    virtual std::string_view readinessPath() const = 0;
    virtual ControlCall decodeCall(const ReceivedCall &call) const = 0;
    virtual std::string encodeHeartbeatResponse(const HeartbeatResponse &response) const = 0;
    /** Encodes the body of a response that refuses an operator's call. */
    virtual std::string encodeRefusal(const std::string &reason) const = 0;
    virtual EncodedLeaseCall encodeLeaseCall(const LeaseCall &call) const = 0;
    /** Decodes the response to a LeaseCall; @p handover is the value of that header. */
    virtual LeaseCallResult decodeLeaseCallResponse(int status,
                                                    std::string_view handover) const = 0;
    /** Decodes a configuration document without validating it; see findConfigurationError(). */
    virtual std::variant<SiteConfiguration, ConfigurationError> decodeConfiguration(
            std::string_view document) const = 0;
};

} // namespace cassiaroad
