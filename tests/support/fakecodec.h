#pragma once

#include "version/externalcodec.h"

namespace cassiaroad {

/** Codec with the given header names whose documents are all the same configuration. */
class FakeCodec : public ExternalCodec
{
public:
    explicit FakeCodec(ExternalHeaders names = {})
        : names(std::move(names))
    { }

    const ExternalHeaders &headers() const override { return this->names; }
    std::string_view readinessPath() const override { return "/ready"; }
    ControlCall decodeCall(const ReceivedCall & /*call*/) const override { return UnknownCall {}; }
    std::string encodeHeartbeatResponse(const HeartbeatResponse & /*response*/) const override
    {
        return {};
    }
    std::string encodeRefusal(const std::string &reason) const override { return reason; }
    EncodedLeaseCall encodeLeaseCall(const LeaseCall &call) const override
    {
        const bool isGrant = std::holds_alternative<GrantCall>(call.body);
        return { "POST", isGrant ? "/grant" : "/release", {}, "{}" };
    }
    LeaseCallResult decodeLeaseCallResponse(int status, std::string_view handover) const override
    {
        return status == 200 ? LeaseCallResult(LeaseCallAccepted { std::string(handover) })
                             : LeaseCallResult(LeaseCallBroken {});
    }
    std::variant<SiteConfiguration, ConfigurationError> decodeConfiguration(
            std::string_view /*document*/) const override
    {
        SiteConfiguration configuration;
        configuration.version = 1;
        configuration.services = this->services;
        return configuration;
    }

    std::map<std::string, SiteService> services; // of the configuration, which has no routes

private:
    ExternalHeaders names;
};

} // namespace cassiaroad
