#pragma once

#include "connection/httpserver.h"
#include "connection/serverconnection.h"

struct st_h2o_req_t;

namespace cassiaroad {

/**
 * HttpExchange for a request of h2o's server. h2o frees the request when it ends; the exchange then
 * detaches from it and may live on. Loop thread only.
 */
class H2oExchange : public HttpExchange
{
public:
    /** Precondition: @p request arrived on @p connection and is being handled. */
    H2oExchange(st_h2o_req_t *request, std::shared_ptr<ServerConnection> connection,
                TimePoint arrivedAt);

    std::string_view method() const override;
    std::string_view path() const override;
    std::string_view header(std::string_view lowerCaseName) const override;
    std::vector<std::pair<std::string_view, std::string_view>> headers() const override;
    std::string_view body() const override;
    std::uint64_t connectionId() const override { return this->connection->id; }
    TimePoint arrivedAt() const override { return this->headArrivedAt; }
    void answer(int status, std::vector<std::pair<std::string, std::string>> headers,
                std::string body) override;
    bool reserveResponse() override;
    bool isClientGone() const override { return this->clientGone; }
    void onClientGone(std::function<void()> callback) override;

    /**
     * Makes the request share ownership of @p exchange. When h2o frees the request, the exchange is
     * detached from it and released.
     */
    static void attach(const std::shared_ptr<H2oExchange> &exchange);

    /**
     * Ends the request because the client has closed its HTTP/1.1 connection, and calls the
     * callback of onClientGone().
     */
    void abandon();

    /** Notices from now on when the client closes its HTTP/1.1 connection or sends more. */
    void watch();

    bool isAnswered() const { return this->answered; }

    /** Whether the response that h2o is starting comes from an exchange, not from h2o itself. */
    static bool isAnswering() { return answering; }

private:
    void detach();
    void releaseReservation();
    void startWatching();
    void stopWatching();
    void send(int status, std::vector<std::pair<std::string, std::string>> headers,
              std::string body);

    static bool answering;

    st_h2o_req_t *request;
    std::shared_ptr<ServerConnection> connection;
    TimePoint headArrivedAt;
    std::function<void()> clientGoneCallback;
    bool clientGone = false;
    bool answered = false;
    std::size_t expectedBytes = 0; // set aside for the response
};

} // namespace cassiaroad
