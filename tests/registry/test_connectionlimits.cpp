#include "registry/connectionlimits.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against listeners that together use up the descriptors of the process, and against a
// control listener all of whose connections can be held by clients that keep them.
TEST(RegistryListenerLimits, leavesDescriptorsAndConnectionsFree)
{
    for (const std::uint32_t descriptors : { 256U, 1024U, 4096U, 20000U, UINT32_MAX }) {
        const RegistryListenerLimits limits = registryListenerLimits(descriptors);
        const std::uint32_t control = limits.control.maxConnections;
        const std::uint64_t all = control + std::uint64_t(limits.internal.maxConnections);
        EXPECT_LE(all, descriptors - descriptors / 8) << descriptors;
        EXPECT_LT(limits.control.maxKeptConnections + limits.control.reservedConnections, control)
                << descriptors;
        EXPECT_GT(limits.control.maxKeptConnections, control / 2) << descriptors;
        EXPECT_GT(limits.control.reservedConnections, 0U) << descriptors;
    }
}

// Guards against more connections than the memory of a control host has room for.
TEST(RegistryListenerLimits, boundsConnectionsWithoutALimitOfDescriptors)
{
    const RegistryListenerLimits limits = registryListenerLimits(UINT32_MAX);
    EXPECT_EQ(limits.control.maxConnections, 2000U);
    EXPECT_EQ(limits.internal.maxConnections, 1500U);
    EXPECT_EQ(limits, registryListenerLimits(4096));
}
