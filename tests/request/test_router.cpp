#include "request/router.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

Settings twoRegions()
{
    Settings settings;
    settings.region = "etela";
    settings.regions = { { "etela", { "etela-a" }, {} }, { "pohjoinen", { "pohjoinen-a" }, {} } };
    settings.services = { { "orders", 16, Priority::Normal, Priority::Normal },
                          { "maps", 4, Priority::Normal, Priority::Normal } };
    return settings;
}

int statusOf(const std::variant<Target, BadRequest> &resolved)
{
    const auto *bad = std::get_if<BadRequest>(&resolved);
    return bad != nullptr ? bad->status : 200;
}

std::string keyWithHomeRegion(std::uint32_t region)
{
    for (int i = 0;; ++i) {
        const std::string key = "k" + std::to_string(i);
        if (homeRegionOfShard(shardOfKey(key, 16), 2) == region) {
            return key;
        }
    }
}

} // namespace

TEST(Router, readsServiceAndKey)
{
    const Settings settings = twoRegions();
    const Router router(settings);
    for (const std::string path : { "/orders/Club_7.~-x", "/orders/Club_7.~-x?a=/b",
                                    "/orders/Club_7.~-x/proof/1", "/orders/Club_7.~-x/" }) {
        const auto resolved = router.resolve(path, false);
        ASSERT_EQ(statusOf(resolved), 200) << path;
        EXPECT_EQ(std::get<Target>(resolved).key, "Club_7.~-x") << path;
        EXPECT_EQ(std::get<Target>(resolved).service->name, "orders") << path;
    }
}

TEST(Router, refusesPathsWithoutAValidKey)
{
    const Settings settings = twoRegions();
    const Router router(settings);
    for (const std::string path :
         { "", "/", "orders/k", "/orders", "/orders/", "/orders//k", "/orders/a b", "/orders/a%2Fb",
           "/orders/.", "/orders/..", "/orders/?k", "/orders/k\r\nx: y", "/orders/k/\x01",
           "/orders/k/\xc3\xa4", "*" }) {
        EXPECT_EQ(statusOf(router.resolve(path, false)), 400) << path;
    }
    EXPECT_EQ(statusOf(router.resolve("/orders/" + std::string(128, 'k'), false)), 200);
    EXPECT_EQ(statusOf(router.resolve("/orders/" + std::string(129, 'k'), false)), 400);
    EXPECT_EQ(statusOf(router.resolve("/order/k", false)), 404);
}

// Guards against requests that are forwarded between regions forever.
TEST(Router, refusesForwardedRequestsOfAnotherRegion)
{
    const Settings settings = twoRegions();
    const Router router(settings);
    const std::string own = "/orders/" + keyWithHomeRegion(0);
    const std::string foreign = "/orders/" + keyWithHomeRegion(1);
    EXPECT_EQ(statusOf(router.resolve(own, true)), 200);
    EXPECT_EQ(statusOf(router.resolve(foreign, false)), 200);
    EXPECT_EQ(statusOf(router.resolve(foreign, true)), 508);
    EXPECT_FALSE(router.isLocal(std::get<Target>(router.resolve(foreign, false))));
}

TEST(Router, returnsAnOwnerOnlyWhileItOwnsTheTarget)
{
    const Settings settings = twoRegions();
    const Router router(settings);
    const auto target = std::get<Target>(router.resolve("/orders/k", false));
    RouteDelta delta;
    delta.toRevision = 1;
    delta.upstreams.push_back(
            { { "orders", "o1" }, "etela-a", "127.0.0.1:1", 6, 120, true, "i1", false });
    EXPECT_EQ(Router::ownerOf(target, RouteTable()), Ownership(NoOwner {}));
    delta.shards = { { { "orders", target.shard }, { RouteState::Owned, "o1", 3 } } };
    const Owner owner { { "orders", "o1" }, "127.0.0.1:1", 3, false, target.shard };
    EXPECT_EQ(Router::ownerOf(target, *RouteTable().apply(delta)), Ownership(owner));
    delta.shards[0].second = { RouteState::Releasing, "o1", 3, MoveReason::Loss };
    EXPECT_EQ(Router::ownerOf(target, *RouteTable().apply(delta)),
              Ownership(NoOwner { RouteState::Releasing, MoveReason::Loss }));
    delta.shards[0].second = { RouteState::Owned, "gone", 4 };
    EXPECT_TRUE(
            std::holds_alternative<NoOwner>(Router::ownerOf(target, *RouteTable().apply(delta))));
}

// Guards against a crash or an invalid key when a path contains arbitrary bytes.
RC_GTEST_PROP(Router, acceptsOnlyKeysOfAllowedCharacters, (const std::string &tail))
{
    const Settings settings = twoRegions();
    const auto resolved = Router(settings).resolve("/orders/" + tail, false);
    if (const auto *target = std::get_if<Target>(&resolved)) {
        RC_ASSERT(target->key.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvw"
                                                "xyz0123456789._~-")
                  == std::string::npos);
        RC_ASSERT(tail.starts_with(target->key));
    }
}
