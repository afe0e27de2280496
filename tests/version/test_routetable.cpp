#include "version/routetable.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against an entry host that returns to an older revision (P8).
TEST(RouteTable, refusesDeltasThatGoBackOrLeaveAGap)
{
    RouteDelta complete;
    complete.toRevision = 5;
    complete.shards.push_back({ { "orders", 1 }, { RouteState::Owned, "o1", 3 } });
    const auto table = RouteTable().apply(complete);
    ASSERT_NE(table, nullptr);

    RouteDelta older;
    older.toRevision = 4;
    EXPECT_EQ(table->apply(older), nullptr);

    RouteDelta gap;
    gap.fromRevision = 6;
    gap.toRevision = 7;
    EXPECT_EQ(table->apply(gap), nullptr);
}
