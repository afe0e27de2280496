#include "process/settings.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>
#include <unistd.h>

using namespace cassiaroad;

namespace {

const std::string testData = TEST_DATA;
const std::string examples = testData + "/../../examples/";

std::string textOf(const std::string &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

/** Returns the errors of a file, one a line, without its folder. */
std::string errorsOf(const std::string &path)
{
    const auto result = readSettings(path);
    std::string text;
    if (const auto *errors = std::get_if<std::vector<SettingsError>>(&result)) {
        for (SettingsError error : *errors) {
            error.file = std::filesystem::path(error.file).filename().string();
            text += error.toString() + "\n";
        }
    }
    return text;
}

/** A copy of an example folder in which one text of one settings file is replaced. */
class ChangedExample
{
public:
    ChangedExample(const std::string &name, const std::string &from, const std::string &to)
        : folder(std::filesystem::path(testing::TempDir())
                 / ("settings-" + std::to_string(getpid())))
    {
        std::filesystem::remove_all(this->folder);
        std::filesystem::copy(examples + "rastikartta", this->folder);
        std::string text = textOf(this->path(name));
        const std::size_t position = text.find(from);
        EXPECT_NE(position, std::string::npos) << from;
        text.replace(position, from.size(), to);
        std::ofstream(this->path(name)) << text;
    }

    ~ChangedExample() { std::filesystem::remove_all(this->folder); }

    std::string path(const std::string &name) const { return (this->folder / name).string(); }

private:
    std::filesystem::path folder;
};

std::string errorsAfter(const std::string &name, const std::string &from, const std::string &to)
{
    const ChangedExample changed(name, from, to);
    return errorsOf(changed.path(name));
}

} // namespace

// Guards against a list of errors that ends at the first error or names the wrong line.
TEST(Settings, reportsEveryErrorOfAFaultyFile)
{
    const std::string errors = errorsOf(testData + "/faulty.ini");
    EXPECT_EQ(errors, textOf(testData + "/faulty.errors"));
}

// Guards against examples that the program no longer accepts.
TEST(Settings, acceptsTheExamplesOfBothSites)
{
    for (const std::string site : { "rastikartta", "badia" }) {
        for (const std::string name : { "entry", "control", "control-tie-breaker", "operator" }) {
            EXPECT_EQ(errorsOf(examples + site + "/" + name + ".ini"), "") << site << "/" << name;
        }
    }
}

// Guards against values that are stored in the wrong member.
TEST(Settings, readsTheValuesOfAnEntryHost)
{
    const auto result = readSettings(examples + "rastikartta/entry.ini");
    const Settings &settings = std::get<Settings>(result);
    EXPECT_EQ(settings.group, "etela");
    ASSERT_EQ(settings.regions.size(), 2U);
    EXPECT_EQ(settings.regions[1].zones[1], "pohjoinen-b");
    EXPECT_EQ(settings.regions[0].gateways.size(), 5U);
    EXPECT_EQ(settings.services[0],
              (ServiceSettings { "orders", 1024, Priority::Critical, Priority::Normal }));
    EXPECT_EQ(settings.members[2].region, "pohjoinen");
    const EntrySettings &entry = std::get<EntrySettings>(settings.role);
    EXPECT_EQ(entry.announce.toString(), "10.31.1.10:8081");
    EXPECT_EQ(entry.announceToken, "replace-this-announce-token");
    EXPECT_EQ(settings.timing, TimingSettings());
    EXPECT_EQ(settings.placement, (PlacementSettings { 1.0, 1.0, 4.0 }));
}

// Guards against a tie-breaking member that joins the group of the region it is in.
TEST(Settings, readsTheGroupOfTheTieBreakingMemberFromItsOwnKey)
{
    const auto result = readSettings(examples + "badia/control-tie-breaker.ini");
    const Settings &settings = std::get<Settings>(result);
    EXPECT_EQ(settings.region, "south-maan");
    EXPECT_EQ(settings.group, "north-badia");
    EXPECT_EQ(std::get<ControlSettings>(settings.role).member, 3U);
}

// Guards against a list of gateways that inih truncates at 200 bytes.
TEST(Settings, readsLinesLongerThanTheDefaultBufferOfInih)
{
    std::string list = "gateways = 10.9.0.1:1000";
    for (int i = 2; i < 60; ++i) {
        list += ", 10.9.0." + std::to_string(i) + ":1000";
    }
    const ChangedExample changed("operator.ini", "gateways = 10.31.1.10:8080", list);
    const auto result = readSettings(changed.path("operator.ini"));
    ASSERT_TRUE(std::holds_alternative<Settings>(result)) << errorsOf(changed.path("operator.ini"));
    EXPECT_EQ(std::get<Settings>(result).regions[0].gateways.size(), 63U);
}

// Guards against two hosts that are configured with the same address.
TEST(Settings, refusesOneAddressForTwoHosts)
{
    EXPECT_EQ(errorsAfter("entry.ini", "admin = 10.31.1.10:8082", "admin = 10.31.1.31:7001"),
              "entry.ini:53: entry.admin: read \"10.31.1.31:7001\", allowed: an address of its "
              "own; 10.31.1.31:7001 is member.2.rpc\n");
}

// Guards against a leader whose lease outlives the election of the next one (P1).
TEST(Settings, refusesALeaderLeaseThatOutlivesAnElection)
{
    EXPECT_EQ(errorsAfter("control.ini", "[placement]",
                          "[timing]\nleader-lease-ms = 300\n"
                          "[placement]"),
              "control.ini:57: timing.leader-lease-ms: read \"300\", allowed: less than "
              "election-min-ms (300)\n");
}

// Guards against a member that starts with the number of another one.
TEST(Settings, refusesAMemberNumberOfAnotherZone)
{
    EXPECT_EQ(errorsAfter("control.ini", "member = 1\n", "member = 2\n"),
              "control.ini:9: host.zone: read \"etela-a\", allowed: the zone of the own "
              "[member.N]\n");
}

// Guards against a token that is empty or cannot be read, with which everyone or no one would have
// access.
TEST(Settings, refusesAMissingTokenFile)
{
    EXPECT_NE(errorsAfter("operator.ini", "= operator.token", "= no.token")
                      .find("operator.operator-token-file: read \"no.token\""),
              std::string::npos);
}

// Guards against a crash if the file does not exist.
TEST(Settings, reportsAFileThatCannotBeRead)
{
    EXPECT_EQ(errorsOf(testData + "/absent.ini"),
              "absent.ini:0: file: missing, allowed: a readable settings file\n");
}
