#include "process/eventloop.h"

#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include <h2o.h>

using namespace cassiaroad;

// Guards against a write in a timer whose completion waits until the next event or timer: a request
// on a kept connection would not read its answer until then.
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
