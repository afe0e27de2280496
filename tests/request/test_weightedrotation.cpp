#include "request/weightedrotation.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against shares that deviate from the weights over few requests, as with random choices.
TEST(WeightedRotation, distributesEveryHundredRequestsByWeight)
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

// Guards against credit from earlier weights that distorts the shares after the weights have
// changed.
TEST(WeightedRotation, adaptsToAChangeOfWeights)
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
