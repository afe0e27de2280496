#pragma once

#include "cassiaroad/announcecodec.h"
#include "connection/controlclient.h"
#include "connection/httpserver.h"

#include <memory>

namespace cassiaroad {

/**
 * Handles the announcements of upstreams: forwards them to the control group and responds with its
 * reply. Loop thread only.
 */
class AnnounceHandler : private kj::TaskSet::ErrorHandler
{
public:
    /** All references must outlive the handler. Precondition: the role is entry. */
    AnnounceHandler(ControlClient &control, const Settings &settings);
    ~AnnounceHandler();
    AnnounceHandler(const AnnounceHandler &) = delete;
    AnnounceHandler &operator=(const AnnounceHandler &) = delete;

    /** Answers a request to the announce listener. */
    void handle(const std::shared_ptr<HttpExchange> &exchange);

private:
    void taskFailed(kj::Exception &&exception) override;
    bool isAuthorized(const HttpExchange &exchange) const;
    bool isOwnZone(const std::string &zone) const;
    void forward(const std::shared_ptr<HttpExchange> &exchange, Announcement announcement);
    void reply(HttpExchange &exchange, rpc::AnnounceReply::Reader reply) const;

    ControlClient &control;
    const Settings &settings;
    std::string authorization;
    kj::TaskSet tasks;
};

} // namespace cassiaroad
