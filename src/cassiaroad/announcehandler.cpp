#include "cassiaroad/announcehandler.h"

#include "process/log.h"

#include <algorithm>

#include <openssl/crypto.h>

namespace cassiaroad {

namespace {

// Short enough that an upstream without a response can try the next entry host within its lease of
// 1,000 ms.
constexpr Milliseconds announceTimeout { 450 };
constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int forbidden = 403;
constexpr int notFound = 404;
constexpr int unavailable = 503;

void answerJson(HttpExchange &exchange, int status, std::string json)
{
    exchange.answer(status, { { "content-type", "application/json" } }, std::move(json));
}

void answerError(HttpExchange &exchange, int status, const std::string &reason)
{
    answerJson(exchange, status, errorJson(reason));
}

} // namespace

AnnounceHandler::AnnounceHandler(ControlClient &control, const Settings &settings)
    : control(control)
    , settings(settings)
    , authorization("Bearer " + std::get<EntrySettings>(settings.role).announceToken)
    , tasks(*this)
{ }

AnnounceHandler::~AnnounceHandler() = default;

void AnnounceHandler::taskFailed(kj::Exception &&exception)
{
    Log("entry").error(std::string("unexpected error while an announcement was handled: ")
                       + exception.getDescription().cStr());
}

// Compares in constant time, so that the token cannot be guessed byte by byte.
bool AnnounceHandler::isAuthorized(const HttpExchange &exchange) const
{
    const std::string_view given = exchange.header("authorization");
    return given.size() == this->authorization.size()
           && CRYPTO_memcmp(given.data(), this->authorization.data(), given.size()) == 0;
}

bool AnnounceHandler::isOwnZone(const std::string &zone) const
{
    return std::any_of(this->settings.regions.begin(), this->settings.regions.end(),
                       [&](const RegionSettings &region) {
                           return region.name == this->settings.region
                                  && std::find(region.zones.begin(), region.zones.end(), zone)
                                             != region.zones.end();
                       });
}

void AnnounceHandler::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    if (exchange->method() != "POST" || exchange->path() != "/v1/announce") {
        answerError(*exchange, notFound, "only POST /v1/announce is served here");
        return;
    }
    if (!this->isAuthorized(*exchange)) {
        answerError(*exchange, unauthorized, "the announce token is missing or wrong");
        return;
    }
    std::variant<Announcement, AnnouncementError> parsed = parseAnnouncement(exchange->body());
    if (const auto *inputError = std::get_if<AnnouncementError>(&parsed)) {
        answerError(*exchange, badRequest, inputError->reason);
        return;
    }
    auto &announcement = std::get<Announcement>(parsed);
    if (!this->isOwnZone(announcement.upstream.zone)) {
        answerError(*exchange, forbidden, "the zone does not belong to this region");
        return;
    }
    this->forward(exchange, std::move(announcement));
}

void AnnounceHandler::forward(const std::shared_ptr<HttpExchange> &exchange,
                              Announcement announcement)
{
    const auto fill
            = [announcement = std::move(announcement)](rpc::AnnounceRequest::Builder request) {
                  encode(announcement, request);
              };
    this->tasks.add(this->control.announce(fill, announceTimeout)
                            .then(
                                    [this, exchange](ControlClient::AnnounceReply &&reply) {
                                        this->reply(*exchange, reply.getReply());
                                    },
                                    [exchange](kj::Exception &&) {
                                        answerError(*exchange, unavailable,
                                                    "no control leader answered");
                                    }));
}

void AnnounceHandler::reply(HttpExchange &exchange, rpc::AnnounceReply::Reader reply) const
{
    if (reply.isAccepted()) {
        answerJson(exchange, ok,
                   acceptedAnnouncementJson(reply.getAccepted(),
                                            this->settings.timing.announceInterval.count));
    } else if (reply.isRefused()) {
        answerError(exchange, forbidden, reply.getRefused().cStr());
    } else {
        answerError(exchange, unavailable, "no control leader answered");
    }
}

} // namespace cassiaroad
