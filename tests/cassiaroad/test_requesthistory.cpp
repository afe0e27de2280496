#include "cassiaroad/requesthistory.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

std::vector<std::string> eventsOf(const std::vector<LogLine> &history)
{
    std::vector<std::string> events;
    for (const LogLine &line : history) {
        events.push_back(line.event);
    }
    return events;
}

const std::vector<std::string> logs {
    R"(core-1 {"time_ms":5000,"host":"core-1","event":"range_transferred","service":"l","from":0,"to":99,"upstream":"i-2"})",
    R"(core-2 {"time_ms":5010,"host":"core-2","event":"range_transferred","service":"l","from":0,"to":99,"upstream":"i-2"})",
    R"({"time_ms":5020,"host":"core-1","event":"range_transferred","service":"l","from":100,"to":199,"upstream":"i-3"})",
    R"({"time_ms":4000,"host":"front-1","event":"control_lost","leader":"10.0.0.1"})",
    R"({"time_ms":4500,"host":"front-2","event":"control_lost","leader":"10.0.0.1"})",
    R"({"time_ms":6000,"host":"front-1","event":"request_repeated","request":"r1","ms":40,"service":"l","key":7,"upstream":"i-2"})",
    R"({"time_ms":6700,"host":"front-1","event":"request_failed","request":"r1","ms":740,"service":"l","key":7,"upstream":""})",
    R"({"time_ms":6600,"host":"front-1","event":"request_failed","request":"r2","ms":1,"service":"l","key":7,"upstream":""})",
    "no json",
    "{broken",
};

} // namespace

// Guards against a history that lacks the events which explain a failed request.
TEST(RequestHistory, listsTheRequestAndTheEventsThatExplainIt)
{
    EXPECT_EQ(eventsOf(findRequestHistory("r1", logs)),
              (std::vector<std::string> { "control_lost", "range_transferred", "request_repeated",
                                          "request_failed" }));
}

TEST(RequestHistory, isEmptyForAnUnknownRequest)
{
    EXPECT_TRUE(findRequestHistory("r9", logs).empty());
}
