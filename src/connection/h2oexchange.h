#pragma once

#include "connection/httpserver.h"
#include "connection/serverconnection.h"

struct st_h2o_req_t;

namespace cassiaroad {

/** HttpExchange on a request of h2o's server. Loop thread only. */
class H2oExchange : public HttpExchange
{
public:
    /** Precondition: @p request is being handled on @p connection. */
    H2oExchange(st_h2o_req_t *request, std::shared_ptr<ServerConnection> connection);

    std::string_view method() const override;
    std::string_view path() const override;
    std::string_view header(std::string_view lowerCaseName) const override;
    std::vector<std::pair<std::string_view, std::string_view>> headers() const override;
    std::string_view body() const override;
    void answer(int status, std::vector<std::pair<std::string, std::string>> headers,
                std::string body) override;
    bool isClientGone() const override { return this->clientGone; }
    void onClientGone(std::function<void()> callback) override;

    /** Lets the request's memory keep @p exchange; the request's end detaches it. */
    static void attach(const std::shared_ptr<H2oExchange> &exchange);

    /** Ends the request of a client that has closed an HTTP/1.1 connection. */
    void abandon();

    /** Whether the answer that is being started comes from an exchange, not from h2o itself. */
    static bool isAnswering() { return answering; }

private:
    void detach();
    void startWatching();
    void stopWatching();
    void send(int status, std::vector<std::pair<std::string, std::string>> headers,
              std::string body);

    static bool answering;

    st_h2o_req_t *request;
    std::shared_ptr<ServerConnection> connection;
    std::function<void()> goneCallback;
    bool clientGone = false;
    bool answered = false;
};

} // namespace cassiaroad
