#include "request/deadline.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {
constexpr TimePoint now { 5000 };
const Deadline fallback = Deadline::after({ 10000 }, now);
} // namespace

TEST(Deadline, readsWholeNumbersInRange)
{
    EXPECT_EQ(Deadline::parse("", fallback, now), std::optional(fallback));
    EXPECT_EQ(Deadline::parse("250", fallback, now), std::optional(Deadline::after({ 250 }, now)));
    for (const char *text :
         { "0", "-1", "600001", "1.5", "10 ", " 10", "abc", "1e3", "99999999999999999999" }) {
        EXPECT_EQ(Deadline::parse(text, fallback, now), std::nullopt) << text;
    }
}

TEST(Deadline, passesExactlyAtItsEnd)
{
    const Deadline deadline = Deadline::after({ 100 }, now);
    EXPECT_FALSE(deadline.hasPassed(now + Milliseconds { 99 }));
    EXPECT_TRUE(deadline.hasPassed(now + Milliseconds { 100 }));
    EXPECT_EQ(deadline.timeLeft(now + Milliseconds { 200 }), Milliseconds { 0 });
    EXPECT_TRUE(deadline.hasTimeFor({ 100 }, now));
    EXPECT_FALSE(deadline.hasTimeFor({ 101 }, now));
    EXPECT_FALSE(Deadline::unlimited().hasPassed({ 1LL << 40 }));
}
