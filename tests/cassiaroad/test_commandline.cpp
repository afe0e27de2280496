#include "cassiaroad/commandline.h"
#include "cassiaroad/operatorjson.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const CommandSyntax confirmSyntax { "who number json", true, 1, 1, "confirm", "" };

} // namespace

// Guards against options that are ignored or read as positional arguments.
TEST(CommandLine, readsOptionsAndPositionalArguments)
{
    const auto result = parseCommandLine(
            confirmSyntax, { "-c", "a.ini", "--who", "aino", "--number=7", "--json", "3" });
    ASSERT_TRUE(std::holds_alternative<CommandLine>(result));
    const auto &line = std::get<CommandLine>(result);
    EXPECT_EQ(line.settingsFile, "a.ini");
    EXPECT_EQ(line.who, "aino");
    EXPECT_EQ(line.number, 7U);
    EXPECT_TRUE(line.json);
    EXPECT_EQ(line.words, std::vector<std::string> { "3" });
}

// Guards against a command that runs although its command line is not valid.
TEST(CommandLine, refusesInvalidCommandLines)
{
    const std::vector<std::vector<std::string>> wrong {
        { "3" }, // no settings file
        { "-c", "a.ini" }, // no plan
        { "-c", "a.ini", "3", "4" },
        { "-c", "a.ini", "--why", "x", "3" }, // not an option of this command
        { "-c", "a.ini", "--number", "0", "3" },
        { "-c", "a.ini", "--number", "1x", "3" },
        { "-c" },
    };
    for (const auto &arguments : wrong) {
        EXPECT_TRUE(std::holds_alternative<UsageError>(parseCommandLine(confirmSyntax, arguments)));
    }
    EXPECT_TRUE(
            std::holds_alternative<HelpRequested>(parseCommandLine(confirmSyntax, { "--help" })));
}

// Guards against an intent that is parsed as a different one.
TEST(Intent, parsedIntentHasTheTextOfItsWords)
{
    const std::vector<std::vector<std::string>> written {
        { "drain", "orders/orders-1" },
        { "return", "orders/orders-1" },
        { "move-key", "orders/k1", "orders-2" },
        { "zone-out", "etela-a" },
        { "zone-in", "etela-a" },
        { "set", "limits.queue-length", "64" },
        { "rebalance", "orders" },
    };
    for (const auto &words : written) {
        const auto intent = parseIntent(words);
        ASSERT_TRUE(std::holds_alternative<Intent>(intent)) << words[0];
        std::string text;
        for (const std::string &word : words) {
            text += (text.empty() ? "" : " ") + word;
        }
        EXPECT_EQ(toString(std::get<Intent>(intent)), text);
    }
    EXPECT_TRUE(std::holds_alternative<IntentError>(parseIntent({})));
    EXPECT_TRUE(std::holds_alternative<IntentError>(parseIntent({ "explode" })));
    EXPECT_TRUE(std::holds_alternative<IntentError>(parseIntent({ "drain", "orders" })));
    EXPECT_TRUE(std::holds_alternative<IntentError>(parseIntent({ "set", "x" })));
}
