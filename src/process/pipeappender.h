#pragma once

#include <cstdint>

#include <log4cxx/appenderskeleton.h>

namespace cassiaroad {

namespace helpers = log4cxx::helpers; // the macros below name it without its parent

/**
 * Writes log lines to a file descriptor without blocking: a line is dropped and counted if the
 * reader of the pipe has stopped reading. Lines longer than 4096 bytes are truncated, because only
 * writes up to that size to a pipe are atomic. Loop thread only.
 */
class PipeAppender : public log4cxx::AppenderSkeleton
{
public:
    DECLARE_LOG4CXX_OBJECT(PipeAppender)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(PipeAppender)
    LOG4CXX_CAST_ENTRY_CHAIN(AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    PipeAppender() = default;
    PipeAppender(const log4cxx::LayoutPtr &layout, int descriptor);

    void close() override { }
    bool requiresLayout() const override { return true; }

    /** Lines that were dropped so far. */
    std::uint64_t droppedCount() const { return this->dropped; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override;

private:
    int descriptor = 1;
    std::uint64_t dropped = 0;
};

} // namespace cassiaroad
