#include "version/searchreport.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

constexpr TimePoint start { 5000 };

} // namespace

// Guards against a log that does not tell whom a search asks and what each host answers.
TEST(SearchReport, namesTheLastAnswerOfEachHost)
{
    SearchReport report;
    report.begin(start);
    for (const char *ip : { "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.2" }) {
        report.recordQuestion(ip);
    }
    GroupHint hint;
    report.recordAnswer("10.0.0.1", hint);
    hint.groupExists = true;
    hint.leaderIp = "10.0.0.9";
    hint.membersRevision = 6;
    report.recordFailure("10.0.0.2", "not connected yet");
    report.recordAnswer("10.0.0.2", hint);
    report.recordFailure("10.0.0.3", "not connected yet");
    EXPECT_EQ(report.text(),
              "10.0.0.1: knows no group; 10.0.0.2: leader 10.0.0.9, members of revision 6; "
              "10.0.0.3: not connected yet; 10.0.0.4: no answer");
}

// Guards against a log that a long search fills.
TEST(SearchReport, isBounded)
{
    SearchReport report;
    report.begin(start);
    for (int i = 0; i < 1000; ++i) {
        const std::string ip = "10.0.0." + std::to_string(i);
        report.recordQuestion(ip);
        report.recordFailure(ip, std::string(1000, 'x'));
    }
    EXPECT_LT(report.text().size(), 2500U);
    int lines = 0;
    for (int ms = 0; ms <= 10000; ms += 10) {
        lines += report.takeDue(start + Milliseconds { ms }) ? 1 : 0;
    }
    EXPECT_EQ(lines, 10);
}
