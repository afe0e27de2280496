#include "process/textdelta.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

std::string documentOf(int version, int routes)
{
    std::string text = "{\"version\":\"" + std::to_string(version) + "\",\"routes\":{";
    for (int i = 0; i < routes; ++i) {
        text += "\"r" + std::to_string(i * 7919) + "\":{\"pathPrefix\":\"/"
                + std::to_string(i * 104729) + "/\"},";
    }
    return text + "}}";
}

} // namespace

// Guards against a delta as large as the complete document: configurations of a thousand routes may
// change in quick succession on a slow link.
TEST(TextDelta, isShortForAChangeOfALargeDocument)
{
    const std::string before = documentOf(1, 1000);
    const std::string after = documentOf(2, 1003);
    const std::string delta = textDelta(before, after);
    EXPECT_LT(delta.size(), 300U);
    EXPECT_EQ(applyTextDelta(before, delta), after);
}

// Guards against a document that is restored from the wrong base.
TEST(TextDelta, refusesAnotherBase)
{
    const std::string delta = textDelta(documentOf(1, 20), documentOf(2, 21));
    EXPECT_FALSE(applyTextDelta(documentOf(1, 19), delta).has_value());
    EXPECT_FALSE(applyTextDelta("", delta).has_value());
    EXPECT_FALSE(applyTextDelta(documentOf(1, 20), "damaged").has_value());
}

RC_GTEST_PROP(TextDeltaProperties, restoresAnyText, ())
{
    const auto text = rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab{},")));
    const std::string before = *text;
    const std::string after = *text;
    RC_ASSERT(applyTextDelta(before, textDelta(before, after)) == after);
}
