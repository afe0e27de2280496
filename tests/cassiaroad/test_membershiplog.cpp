#include "cassiaroad/membershiplog.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

/** A restarted voter of a group of three whose peers do not reply. */
class MembershipLogTest : public testing::Test
{
protected:
    MembershipLogTest()
        : replica({ .members = { 1, 2, 3 } },
                  { { 1, 0xa1 },
                    2,
                    { 2, std::nullopt, {}, {} },
                    std::nullopt,
                    { { 1, 1, Configuration { { { 1, 0xa1 }, { 2, 0xb2 }, { 3, 0xc3 } } } } } },
                  7, { 1000 })
    { }

    std::vector<std::string> linesAt(TimePoint now)
    {
        this->replica.step(Tick {}, now);
        return this->log.update(this->replica, now);
    }

    Replica replica;
    MembershipLog log;
};

} // namespace

// Guards against logs that do not tell who the voters are and whether the member is one of them.
TEST_F(MembershipLogTest, writesTheVotersOnceForEachChange)
{
    const std::vector<std::string> lines = this->linesAt({ 1000 });
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines[0], "voters are 1/a1 2/b2 3/c3; this member votes; last entry 1");
    EXPECT_TRUE(this->linesAt({ 1100 }).empty());
}

// Guards against a member that waits for others without a line that says for whom, and against more
// than one such line a second.
TEST_F(MembershipLogTest, writesEachSecondWhomTheMemberWaitsFor)
{
    this->linesAt({ 1000 });
    EXPECT_TRUE(this->linesAt({ 1900 }).empty());
    const std::vector<std::string> lines = this->linesAt({ 2000 });
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines[0], "has waited 1000 ms for confirmations of its start: 2 needed, received "
                        "from 1, missing 2 3");
    EXPECT_TRUE(this->linesAt({ 2900 }).empty());
    EXPECT_EQ(this->linesAt({ 3000 }).size(), 1U);
}
