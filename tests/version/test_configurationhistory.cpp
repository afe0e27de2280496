#include "version/configurationhistory.h"

#include "process/textdelta.h"
#include "process/textpack.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const std::string first = "{\"a\":{\"b\":1}}";
const std::string second = "{\"a\":{\"b\":1},\"c\":{}}";

} // namespace

// Guards against a delta for a gateway without a configuration, and against sending anything to a
// gateway with the present configuration.
TEST(ConfigurationHistory, sendsTheCompleteDocumentOnlyToAGatewayWithoutOne)
{
    ConfigurationHistory configurationHistory;
    configurationHistory.add(3, packText(first));
    GatewayUpdate update;
    configurationHistory.fill(update, 0);
    EXPECT_EQ(update.version, 3U);
    EXPECT_EQ(update.documentBase, 0U);
    EXPECT_EQ(unpackText(update.document.value()), first);
    GatewayUpdate nothing;
    configurationHistory.fill(nothing, 3);
    EXPECT_FALSE(nothing.document.has_value());
}

TEST(ConfigurationHistory, sendsTheChangeSinceARecentDocument)
{
    ConfigurationHistory configurationHistory;
    configurationHistory.add(3, packText(first));
    configurationHistory.add(5, packText(second));
    GatewayUpdate update;
    configurationHistory.fill(update, 3);
    EXPECT_EQ(update.documentBase, 3U);
    EXPECT_EQ(applyTextDelta(first, update.document.value()), second);
}

// Guards against storing every document for ever.
TEST(ConfigurationHistory, sendsTheCompleteDocumentToAGatewayThatLagsFarBehind)
{
    ConfigurationHistory configurationHistory;
    for (ConfigurationVersion version = 1; version <= 20; ++version) {
        configurationHistory.add(version, packText(first));
    }
    GatewayUpdate update;
    configurationHistory.fill(update, 2);
    EXPECT_EQ(update.documentBase, 0U);
}
