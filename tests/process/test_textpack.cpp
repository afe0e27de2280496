#include "process/textpack.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

RC_GTEST_PROP(TextPack, returnsEveryText, (const std::string &text))
{
    RC_ASSERT(unpackText(packText(text)) == text);
}

// Guards against a damaged message that terminates the process or is accepted as a document.
RC_GTEST_PROP(TextPack, acceptsAnyBytes, (const std::string &bytes))
{
    (void)unpackText(bytes);
}

TEST(TextPack, makesAConfigurationMuchSmaller)
{
    std::string text;
    for (int i = 0; i < 300; ++i) {
        text += R"("r-)" + std::to_string(i) + R"(":{"host":"maps.example","timeout":0.8},)";
    }
    EXPECT_LT(packText(text).size() * 5, text.size());
}
