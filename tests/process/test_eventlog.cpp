#include "process/eventlog.h"

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace cassiaroad;

namespace {

/** Redirects the standard output of the test to a pipe during its lifetime. */
class CapturedOutput
{
public:
    CapturedOutput()
        : saved(dup(STDOUT_FILENO))
    {
        int ends[2] = {};
        EXPECT_EQ(pipe(ends), 0);
        this->reader = ends[0];
        dup2(ends[1], STDOUT_FILENO);
        close(ends[1]);
        fcntl(this->reader, F_SETFL, O_NONBLOCK);
    }
    ~CapturedOutput()
    {
        dup2(this->saved, STDOUT_FILENO);
        close(this->saved);
        close(this->reader);
    }
    CapturedOutput(const CapturedOutput &) = delete;
    CapturedOutput &operator=(const CapturedOutput &) = delete;

    std::string read()
    {
        std::string text(1 << 20, '\0');
        const ssize_t size = ::read(this->reader, text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }

private:
    int saved;
    int reader = -1;
};

} // namespace

TEST(EventLog, writesOneJsonObjectALine)
{
    CapturedOutput output;
    EventLog log("front-1");
    log.write({ "request",
                Event::Weight::Important,
                { { "request", std::string("a\"b\n") }, { "status", std::int64_t(503) } } });
    const std::string text = output.read();
    const auto line = nlohmann::json::parse(text);
    EXPECT_EQ(line["host"], "front-1");
    EXPECT_EQ(line["event"], "request");
    EXPECT_EQ(line["request"], "a\"b\n");
    EXPECT_EQ(line["status"], 503);
    EXPECT_EQ(text.back(), '\n');
}

// Guards against a process that blocks because nothing reads its log.
TEST(EventLog, neverWaitsForAReaderThatStopped)
{
    CapturedOutput output;
    EventLog log("front-1");
    for (int i = 0; i < 5000; ++i) {
        log.write({ "stopped", Event::Weight::Always, { { "text", std::string(100, 'x') } } });
    }
    EXPECT_GT(log.droppedCount(), 0U);
    output.read();
    log.write({ "stopped", Event::Weight::Always, {} });
    EXPECT_FALSE(output.read().empty());
}

// Guards against a log volume that grows with the load; suppressed lines must be counted.
TEST(EventLog, boundsTheRateOfEachKindAndCountsTheRest)
{
    CapturedOutput output;
    EventLog log("front-1");
    for (int i = 0; i < 1000; ++i) {
        log.write({ "request_failed", Event::Weight::Important, {} });
    }
    const std::string text = output.read();
    const auto lines = std::count(text.begin(), text.end(), '\n');
    EXPECT_GE(lines, 200);
    EXPECT_LE(lines, 210);
    EXPECT_EQ(log.suppressedCount(), static_cast<std::uint64_t>(1000 - lines));
}
