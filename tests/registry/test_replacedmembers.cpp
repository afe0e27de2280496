#include "registrygroup.h"

#include <random>

using namespace cassiaroad;

namespace {

// Larger than the amount of log after which a member saves a snapshot, also when compressed.
constexpr std::size_t documentBytes = std::size_t(512) * 1024;

/** Control hosts that are replaced by hosts at other addresses. */
class ReplacedMembersTest : public RegistryGroupTest
{
protected:
    /** Whether all hosts vote in a group of exactly these hosts, within @p timeout. */
    bool waitUntilComplete(Milliseconds timeout = testTimeout)
    {
        return waitUntil(
                this->loop,
                [&] {
                    return std::all_of(this->hosts.begin(), this->hosts.end(),
                                       [&](const auto &host) { return this->isComplete(*host); });
                },
                timeout);
    }

    /** Commits a configuration that is so large that each member saves a snapshot. */
    bool commitLargeConfiguration(ConfigurationVersion version)
    {
        std::mt19937 random(static_cast<std::uint32_t>(version));
        std::string text(documentBytes, ' ');
        for (char &byte : text) {
            byte = static_cast<char>('a' + random() % 16);
        }
        RegistryEngine *leader = this->waitForLeader();
        if (leader == nullptr) {
            return false;
        }
        leader->member().propose(0,
                                 encodeCommand(makePutConfiguration(version, version - 1, text)));
        return waitUntil(this->loop, [&] {
            return std::all_of(this->hosts.begin(), this->hosts.end(), [&](const auto &host) {
                return host->engine.configurationVersion() == version;
            });
        });
    }

    /** Ends the host at @p position of the list and starts the empty host @p index for it. */
    bool replaceHost(std::size_t position, std::size_t index)
    {
        this->hosts.erase(this->hosts.begin() + static_cast<std::ptrdiff_t>(position));
        EXPECT_EQ(this->addHost(index, false).engine.start(), "");
        return this->waitUntilComplete();
    }

    /** Ends all hosts without a stop and starts them again with their data folders. */
    void restartAll()
    {
        std::vector<SiteSettings> settings;
        for (const auto &host : this->hosts) {
            settings.push_back(host->settings);
        }
        this->hosts.clear();
        for (const SiteSettings &hostSettings : settings) {
            const auto last = hostSettings.ip.rfind('.');
            const auto index = std::stoul(hostSettings.ip.substr(last + 1)) - 1;
            this->addHost(index, false);
        }
        for (const auto &host : this->hosts) {
            EXPECT_EQ(host->engine.start(), "");
        }
    }

private:
    bool isComplete(TestHost &host) const
    {
        const auto members = host.engine.member().hint().members;
        const auto isPresent = [&](const auto &member) {
            return std::any_of(this->hosts.begin(), this->hosts.end(), [&](const auto &other) {
                return other->settings.ip == member.second;
            });
        };
        return host.engine.member().isVoter()
               && host.engine.member().voterCount() == this->hosts.size()
               && std::all_of(members.begin(), members.end(), isPresent);
    }
};

} // namespace

// Guards against members that, after a restart, take the addresses of the other members from a
// snapshot that is older than the last replacement, and call hosts that are gone.
TEST_F(ReplacedMembersTest, findEachOtherAfterARestartWithAnOlderSnapshot)
{
    ASSERT_TRUE(this->waitUntilComplete());
    ASSERT_TRUE(this->commitLargeConfiguration(1));
    ASSERT_TRUE(this->replaceHost(0, 3));
    this->seedIndexes = { 1, 2, 3 };
    ASSERT_TRUE(this->replaceHost(0, 4));
    this->seedIndexes = { 2, 3, 4 };
    this->restartAll();
    EXPECT_TRUE(this->waitUntilComplete());
    RegistryEngine *leader = this->waitForLeader();
    ASSERT_NE(leader, nullptr);
    EXPECT_EQ(leader->configurationVersion(), 1U);
}

// Guards against a host that has lost its data and searches for the group for ever, since all hosts
// of its settings are gone and no member calls it.
TEST_F(ReplacedMembersTest, areFoundByTheirGroupAfterTheyHaveLostTheirData)
{
    ASSERT_TRUE(this->waitUntilComplete());
    ASSERT_TRUE(this->replaceHost(0, 3));
    this->seedIndexes = { 1, 2, 3 };
    ASSERT_TRUE(this->replaceHost(0, 4));
    this->seedIndexes = { 2, 3, 4 };
    ASSERT_TRUE(this->replaceHost(0, 5));
    const std::string folder
            = std::get<RegistrySettings>(this->hosts.front()->settings.role).dataFolder;
    this->hosts.erase(this->hosts.begin());
    std::filesystem::remove_all(folder);
    this->seedIndexes = { 0, 1, 2 };
    EXPECT_EQ(this->addHost(3, false).engine.start(), "");
    EXPECT_TRUE(this->waitUntilComplete({ 6000 }));
}

// Guards against a member that restarts with its data after all others were replaced, and never
// asks the hosts of its settings, which know the present members.
TEST_F(ReplacedMembersTest, learnTheMembersFromTheirSeedsAfterAnAbsence)
{
    ASSERT_TRUE(this->waitUntilComplete());
    ASSERT_TRUE(this->replaceHost(0, 3)); // the data of host 0 remain
    this->seedIndexes = { 1, 2, 3 };
    ASSERT_TRUE(this->replaceHost(0, 4));
    this->seedIndexes = { 2, 3, 4 };
    ASSERT_TRUE(this->replaceHost(0, 5));
    this->seedIndexes = { 3, 4, 5 };
    EXPECT_EQ(this->addHost(0, false).engine.start(), "");
    EXPECT_TRUE(waitUntil(this->loop,
                          [this] {
                              return this->hosts.back()->engine.member().hint().members
                                     == this->hosts.front()->engine.member().hint().members;
                          },
                          { 6000 }));
}
