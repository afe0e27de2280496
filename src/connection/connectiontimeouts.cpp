#include "connection/connectiontimeouts.h"

#include "connection/clientroom.h"
#include "connection/h2oexchange.h"

#include <h2o.h>

namespace cassiaroad {

namespace {

constexpr std::int64_t minBytesPerSecond = 1024; // of a request, on average
// How long a connection without a request stays open during a shutdown, so that a request that is
// already in transit still gets a response.
constexpr Milliseconds shutdownIdleTimeout { 500 };

} // namespace

void ConnectionTimeouts::check(ServerConnection &connection, TimePoint now) const
{
    if (connection.openExchanges > 0) {
        this->checkOpenRequest(connection, now);
        return;
    }
    connection.unreadSince.reset();
    if (connection.socket->input->size == 0) {
        this->checkIdle(connection, now);
        return;
    }
    this->checkIncompleteRequest(connection, now);
}

void ConnectionTimeouts::checkOpenRequest(ServerConnection &connection, TimePoint now) const
{
    if (connection.watchedExchange != nullptr && connection.needsClosePolling
        && isClosedByPeer(connection)) {
        connection.watchedExchange->abandon();
        return;
    }
    if (connection.unwrittenResponses > 0
        && ClientRoom::unreadFor(connection, now) > this->limits.unreadTimeout) {
        shutDownSocket(connection);
    }
}

void ConnectionTimeouts::checkIdle(ServerConnection &connection, TimePoint now) const
{
    connection.receiving = false;
    const Milliseconds limit = this->shuttingDown ? shutdownIdleTimeout : this->limits.idleTimeout;
    if (now - connection.idleSince > limit && !hasUnreadBytes(connection)) {
        closeIdle(connection);
    }
}

void ConnectionTimeouts::checkIncompleteRequest(ServerConnection &connection, TimePoint now) const
{
    if (!connection.receiving) {
        connection.receiving = true;
        connection.receivingSince = now;
    }
    const auto buffered = static_cast<std::int64_t>(connection.socket->input->size);
    const Milliseconds maxReceiveDuration = this->limits.receiveGracePeriod
                                            + Milliseconds { buffered * 1000 / minBytesPerSecond };
    if (this->isHeadLate(connection, now) || now - connection.receivingSince > maxReceiveDuration) {
        shutDownSocket(connection);
    }
}

// A request that waits for memory is not late by its client's fault.
bool ConnectionTimeouts::isHeadLate(const ServerConnection &connection, TimePoint now) const
{
    return connection.readCallback == connection.http1Callback && !connection.headArrivedAt
           && !connection.waitingSince
           && now - connection.receivingSince > this->limits.headTimeout;
}

} // namespace cassiaroad
