#include "process/pipeappender.h"

#include <poll.h>
#include <unistd.h>

#include <log4cxx/layout.h>

namespace cassiaroad {

namespace {

constexpr std::size_t maxAtomicWriteBytes = 4096; // PIPE_BUF

bool isWritable(int descriptor)
{
    pollfd entry { descriptor, POLLOUT, 0 };
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace

PipeAppender::PipeAppender(const log4cxx::LayoutPtr &layout, int descriptor)
    : descriptor(descriptor)
{
    this->setLayout(layout); // the base class's constructor ignores its argument
}

void PipeAppender::append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool)
{
    log4cxx::LogString line;
    this->getLayout()->format(line, event, pool);
    if (line.size() > maxAtomicWriteBytes) {
        line.resize(maxAtomicWriteBytes - 1);
        line.push_back('\n');
    }
    if (!isWritable(this->descriptor)
        || ::write(this->descriptor, line.data(), line.size())
                   != static_cast<ssize_t>(line.size())) {
        ++this->dropped;
    }
}

// The macro opens a namespace log4cxx within this one, so nothing may follow it.
IMPLEMENT_LOG4CXX_OBJECT(PipeAppender)

} // namespace cassiaroad
