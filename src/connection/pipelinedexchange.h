#pragma once

#include "connection/httpserver.h"
#include "connection/keptresponses.h"
#include "connection/pipelinedhead.h"

#include <optional>

namespace cassiaroad {

class RequestReader;

/** Memory in which the responses to requests count that were started before their turn. */
struct KeptResponseMemory
{
    RequestReader &reader; // bounds all requests and responses of a listener
    KeptResponses &kept; // bounds those that wait for their turn
};

/**
 * HttpExchange for a request that was started before its turn on its connection. Its response is
 * kept until h2o hands on the request, and sent through h2o's exchange. Loop thread only.
 */
class PipelinedExchange : public HttpExchange,
                          public std::enable_shared_from_this<PipelinedExchange>
{
public:
    /**
     * Reserves memory for the response and returns the exchange, or nothing if there is no room.
     * @p memory must outlive the response or the cancellation of the request.
     */
    static std::shared_ptr<PipelinedExchange> create(PipelinedHead head, TimePoint arrivedAt,
                                                     KeptResponseMemory memory, RunAhead kind);

    PipelinedExchange(PipelinedHead head, TimePoint arrivedAt, KeptResponseMemory memory,
                      RunAhead kind, std::size_t reservedBytes);
    ~PipelinedExchange() override;
    PipelinedExchange(const PipelinedExchange &) = delete;
    PipelinedExchange &operator=(const PipelinedExchange &) = delete;

    std::uint64_t connectionId() const override { return this->head.connection; }
    std::string_view method() const override { return this->head.method; }
    std::string_view path() const override { return this->head.path; }
    std::string_view header(std::string_view lowerCaseName) const override;
    std::vector<std::pair<std::string_view, std::string_view>> headers() const override;
    std::string_view body() const override { return {}; }
    TimePoint arrivedAt() const override { return this->headArrivedAt; }
    void answer(int status, std::vector<std::pair<std::string, std::string>> headers,
                std::string body) override;
    bool isClientGone() const override { return this->clientGone; }
    void onClientGone(std::function<void()> callback) override;

    /**
     * The request has its turn: @p turn is h2o's exchange of it. Sends the response now if it is
     * kept, otherwise as soon as there is one.
     */
    void takeTurn(const std::shared_ptr<HttpExchange> &turn);

    /** Cancels the request: its client is gone, or counts it as not read. */
    void cancel();

private:
    struct Response
    {
        int status;
        std::vector<std::pair<std::string, std::string>> headers;
        std::string body;
    };

    void keep(Response response);
    void releaseMemory();

    const PipelinedHead head;
    const TimePoint headArrivedAt;
    const KeptResponseMemory memory;
    const RunAhead kind;
    std::size_t reservedBytes; // of the memory; 0 once released
    std::optional<Response> kept;
    TimePoint keptSince; // valid if a response is kept
    std::shared_ptr<HttpExchange> turn; // set from the turn of the request until its response
    std::function<void()> clientGoneCallback;
    bool answered = false;
    bool clientGone = false;
};

} // namespace cassiaroad
