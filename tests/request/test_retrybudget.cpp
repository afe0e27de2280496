#include "request/retrybudget.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against retries that multiply the load of upstreams that are failing.
TEST(RetryBudget, allowsThePercentageOfRequestsAndAFewMore)
{
    RetryBudget budget(10);
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.countRequest();
        taken += budget.take() ? 1 : 0;
    }
    EXPECT_GE(taken, 100);
    EXPECT_LE(taken, 105);
}

TEST(RetryBudget, limitsTheBurstAfterManyRequests)
{
    RetryBudget budget(10);
    for (int i = 0; i < 100000; ++i) {
        budget.countRequest();
    }
    int taken = 0;
    while (budget.take()) {
        ++taken;
    }
    EXPECT_EQ(taken, 50);
}

TEST(RetryBudget, allowsNothingAtZeroPercent)
{
    RetryBudget budget(0);
    budget.countRequest();
    EXPECT_FALSE(budget.take());
}
