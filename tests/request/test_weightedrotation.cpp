#include "request/weightedrotation.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against shares that are off in a short time, as random choices are.
TEST(WeightedRotation, keepsTheSharesOfEveryHundred)
{
    WeightedRotation rotation;
    const std::vector<WeightedService> parts { { "a", 90.0 }, { "b", 10.0 }, { "c", 0.0 } };
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i) {
        ++counts[rotation.next(parts)];
    }
    EXPECT_EQ(counts["a"], 90);
    EXPECT_EQ(counts["b"], 10);
    EXPECT_EQ(counts.contains("c"), false);
}

// Guards against credit that outlives a change of the weights.
TEST(WeightedRotation, followsAChangeOfWeights)
{
    WeightedRotation rotation;
    for (int i = 0; i < 57; ++i) {
        rotation.next({ { "a", 50.0 }, { "b", 50.0 } });
    }
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i) {
        ++counts[rotation.next({ { "a", 20.0 }, { "b", 80.0 } })];
    }
    EXPECT_NEAR(counts["b"], 80, 2);
}
