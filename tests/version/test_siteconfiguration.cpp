#include "version/siteconfiguration.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

SiteConfiguration sample()
{
    SiteConfiguration configuration;
    configuration.version = 3;
    configuration.services["a"] = {};
    configuration.services["b"] = {};
    SiteRoute route;
    route.host = "maps.example";
    route.pathPrefix = "/proofs/";
    route.services = { { "a", 90.0 }, { "b", 10.0 } };
    configuration.routes["proofs"] = route;
    route.pathPrefix = "/proofs/large/";
    configuration.routes["large"] = route;
    return configuration;
}

} // namespace

TEST(SiteConfiguration, acceptsAValidConfiguration)
{
    EXPECT_EQ(findConfigurationError(sample()), std::nullopt);
}

// Guards against acknowledging an invalid configuration.
TEST(SiteConfiguration, findsEachError)
{
    using Change = void (*)(SiteRoute &);
    const Change changes[] = {
        [](SiteRoute &route) { route.services[0].service = "unknown"; },
        [](SiteRoute &route) { route.services[0].weight = -1.0; },
        [](SiteRoute &route) { route.services = {}; },
        [](SiteRoute &route) { route.timeout = {}; },
        [](SiteRoute &route) { route.pathPrefix = "proofs/"; },
        [](SiteRoute &route) { route.pathPrefix = "/proofs/large/"; },
        [](SiteRoute &route) { route.host = ""; },
        [](SiteRoute &route) { route.attempts = 0; },
    };
    for (const Change change : changes) {
        SiteConfiguration configuration = sample();
        change(configuration.routes["proofs"]);
        EXPECT_TRUE(findConfigurationError(configuration).has_value());
    }
}

// Guards against requests that are sent to the service of another route.
TEST(RouteIndex, choosesTheLongestPrefix)
{
    const SiteConfiguration configuration = sample();
    const RouteIndex index(configuration);
    EXPECT_EQ(index.find("MAPS.example:80", "/proofs/7"), &configuration.routes.at("proofs"));
    EXPECT_EQ(index.find("maps.example", "/proofs/large/7?x=/"), &configuration.routes.at("large"));
    EXPECT_EQ(index.find("maps.example", "/proofs"), nullptr);
    EXPECT_EQ(index.find("maps.example", "/other/7"), nullptr);
    EXPECT_EQ(index.find("other.example", "/proofs/7"), nullptr);
    EXPECT_EQ(index.find("maps.example", "no-slash?/proofs/"), nullptr);
}

RC_GTEST_PROP(RouteIndex, acceptsAnyPath, (const std::string &host, const std::string &path))
{
    const SiteConfiguration configuration = sample();
    const RouteIndex index(configuration);
    const SiteRoute *route = index.find(host, path);
    const bool isPrefix = route == nullptr || path.starts_with(route->pathPrefix);
    RC_ASSERT(isPrefix);
}
