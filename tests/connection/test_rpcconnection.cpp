#include "connection/rpcconnection.h"

#include "connection/fakemember.h"

#include "support/loopwait.h"

#include <gtest/gtest.h>

#include <array>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace cassiaroad;

namespace {

/** Listener that accepts nothing at first, so that the first packet of a connection is dropped. */
class FullListener
{
public:
    FullListener()
        : listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        bind(this->listener, generic, length);
        listen(this->listener, 0);
        getsockname(this->listener, generic, &length);
        this->port = ntohs(address.sin_port);
        for (int &filler : this->fillers) {
            filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            connect(filler, generic, length);
        }
    }
    ~FullListener()
    {
        close(this->listener);
        for (const int filler : this->fillers) {
            close(filler);
        }
    }
    FullListener(const FullListener &) = delete;
    FullListener &operator=(const FullListener &) = delete;

    /** Gives up the connections that fill the queue. */
    void makeRoom()
    {
        this->acceptAll();
        for (int &filler : this->fillers) {
            close(filler);
            filler = -1;
        }
        this->acceptAll();
    }

    /** Accepts and closes what is waiting; returns the number of connections. */
    int acceptAll()
    {
        int count = 0;
        int fd = -1;
        while ((fd = accept(this->listener, nullptr, nullptr)) >= 0) {
            close(fd);
            ++count;
        }
        return count;
    }

    std::uint16_t port = 0;

private:
    int listener;
    std::array<int, 4> fillers {};
};

} // namespace

// Guards against a caller on a slow link that begins a new connection with each call and so never
// gets one: the attempt goes on after the call has ended.
TEST(RpcConnection, keepsConnectingAfterACallHasStoppedWaiting)
{
    EventLoop loop;
    FullListener listener;
    RpcConnection connection(loop, { "127.0.0.1", listener.port }, { 5000 },
                             std::make_shared<ByteCounters>());
    bool failed = false;
    const auto send = [](rpc::Member::Client) { return kj::Promise<void>(kj::READY_NOW); };
    const kj::Promise<void> call
            = connection.call<void>({ { 100 }, { 4000 } }, send)
                      .then([] {}, [&](const kj::Exception &) { failed = true; })
                      .eagerlyEvaluate(nullptr);
    ASSERT_TRUE(waitUntil(loop, [&] { return failed; }, { 1000 }));
    listener.makeRoom();
    EXPECT_TRUE(waitUntil(loop, [&] { return listener.acceptAll() > 0; }, { 4000 }));
}

// Guards against a member that counts as failed because it has closed a connection that was idle.
TEST(RpcConnection, opensANewConnectionAfterTheMemberHasClosedAnIdleOne)
{
    EventLoop loop;
    RpcServerLimits limits;
    limits.idleTimeout = { 100 };
    ListeningMember member(loop, limits);
    RpcConnection connection(loop, member.address(), { 1000 }, std::make_shared<ByteCounters>());
    const auto send = [](rpc::Member::Client client) {
        return client.deliverRequest().send().ignoreResult();
    };
    loop.wait(connection.call<void>({ { 1000 }, { 1000 } }, send));
    ASSERT_TRUE(waitUntil(loop, [&] { return member.server.connectionCount() == 0; }));
    runFor(loop, { 50 });
    loop.wait(connection.call<void>({ { 1000 }, { 1000 } }, send));
    EXPECT_EQ(member.behaviour.delivered.size(), 2U);
}

// Guards against a connection that opens only when the system repeats a lost first packet, one
// second and then two more after the attempt began, though the host can be reached again.
TEST(RpcStream, connectsSoonAfterAHostCanBeReachedAgain)
{
    EventLoop loop;
    FullListener listener;
    bool connected = false;
    const kj::Promise<void> stream
            = RpcStream::connect(loop, { "127.0.0.1", listener.port }, { 5000 },
                                 std::make_shared<ByteCounters>())
                      .then([&](const kj::Own<RpcStream> &) { connected = true; })
                      .eagerlyEvaluate(nullptr);
    runFor(loop, { 1100 }); // the system's next repetition is 900 ms away or more
    ASSERT_FALSE(connected);
    listener.makeRoom();
    EXPECT_TRUE(waitUntil(loop, [&] { return connected; }, { 700 }));
}
