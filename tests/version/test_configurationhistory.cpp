#include "version/configurationhistory.h"

#include "process/textdelta.h"
#include "process/textpack.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const std::string first = "{\"a\":{\"b\":1}}";
const std::string second = "{\"a\":{\"b\":1},\"c\":{}}";

} // namespace

// Guards against a gateway without a configuration that gets a delta, and one with the present
// configuration that gets anything.
TEST(ConfigurationHistory, sendsTheWholeDocumentToWhoHasNoneAndNothingToWhoHasIt)
{
    ConfigurationHistory feed;
    feed.add(3, packText(first));
    GatewayUpdate update;
    feed.fill(update, 0);
    EXPECT_EQ(update.version, 3U);
    EXPECT_EQ(update.documentBase, 0U);
    EXPECT_EQ(unpackText(update.document.value()), first);
    GatewayUpdate nothing;
    feed.fill(nothing, 3);
    EXPECT_FALSE(nothing.document.has_value());
}

TEST(ConfigurationHistory, sendsTheChangeSinceARecentDocument)
{
    ConfigurationHistory feed;
    feed.add(3, packText(first));
    feed.add(5, packText(second));
    GatewayUpdate update;
    feed.fill(update, 3);
    EXPECT_EQ(update.documentBase, 3U);
    EXPECT_EQ(applyTextDelta(first, update.document.value()), second);
}

// Guards against a feed that keeps every document of a day.
TEST(ConfigurationHistory, sendsTheWholeDocumentToWhoLagsFarBehind)
{
    ConfigurationHistory feed;
    for (ConfigurationVersion version = 1; version <= 20; ++version) {
        feed.add(version, packText(first));
    }
    GatewayUpdate update;
    feed.fill(update, 2);
    EXPECT_EQ(update.documentBase, 0U);
}
