#include "process/eventloop.h"

#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include <h2o.h>

using namespace cassiaroad;

// Guards against a write in a timer whose completion is reported only at the next event or timer: a
// request on a reused connection would not read its response until then.
TEST(EventLoop, completesWritesOfTimersBeforeItSleeps)
{
    static TimePoint completedAt;
    EventLoop loop;
    int ends[2];
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
    h2o_socket_t *socket = h2o_evloop_socket_create(loop.h2oLoop(), ends[0], 0);
    TimePoint writtenAt;
    const auto write = loop.callAfter({ 5 }, [&] {
        writtenAt = loop.now();
        static char text[] = "x";
        h2o_iovec_t bytes = h2o_iovec_init(text, 1);
        h2o_socket_write(socket, &bytes, 1,
                         [](h2o_socket_t *, const char *) { completedAt = Clock::now(); });
    });
    const auto end = loop.callAfter({ 600 }, [&] { loop.stop(); });
    loop.run();
    EXPECT_LT(completedAt - writtenAt, Milliseconds { 300 });
    h2o_socket_close(socket);
    close(ends[1]);
}

// Guards against a process that aborts when a socket becomes writable again after a complete write
// in a timer has filled it: an assertion in h2o expected a write in progress.
TEST(EventLoop, survivesASocketThatBecomesWritableAfterACompleteWriteInATimer)
{
    EventLoop loop;
    int ends[2];
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
    h2o_socket_t *socket = h2o_evloop_socket_create(loop.h2oLoop(), ends[0], 0);
    static bool completed;
    completed = false;
    std::size_t written = 0;
    const auto write = loop.callAfter({ 5 }, [&] {
        // Fills the socket, so that it is not reported as writable.
        const std::string filling(4096, 'x');
        while (true) {
            const ssize_t size = ::write(ends[0], filling.data(), filling.size());
            if (size <= 0) {
                break;
            }
            written += static_cast<std::size_t>(size);
        }
        std::string room(filling.size(), '\0');
        written -= static_cast<std::size_t>(::read(ends[1], room.data(), room.size()));
        h2o_socket_read_start(socket, [](h2o_socket_t *, const char *) {});
        static char text[] = "x";
        h2o_iovec_t bytes = h2o_iovec_init(text, 1);
        h2o_socket_write(socket, &bytes, 1, [](h2o_socket_t *, const char *) { completed = true; });
    });
    const auto drain = loop.callAfter({ 50 }, [&] {
        std::string bytes(written + 1, '\0');
        EXPECT_GT(::read(ends[1], bytes.data(), bytes.size()), 0);
    });
    const auto end = loop.callAfter({ 100 }, [&] { loop.stop(); });
    loop.run();
    EXPECT_TRUE(completed);
    h2o_socket_close(socket);
    close(ends[1]);
}
