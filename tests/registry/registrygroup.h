#pragma once

#include "connection/rpcserver.h"
#include "registry/registryengine.h"
#include "registry/registryservice.h"
#include "support/fakecodec.h"
#include "support/loopwait.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <memory>
#include <vector>

#include <stdlib.h>

namespace cassiaroad {

/** One control host, at the address 127.0.0.NUMBER. */
struct TestHost
{
    TestHost(EventLoop &loop, SiteSettings hostSettings, const ExternalCodec &codec)
        : settings(std::move(hostSettings))
        , log(settings.host)
        , engine(loop, settings, codec, metrics, log, [](const std::string &) {})
        , server(loop, {}, kj::heap<RegistryService>(loop, engine))
    { }

    SiteSettings settings;
    EventLog log;
    Metrics metrics;
    RegistryEngine engine;
    RpcServer server;
};

/** A control group of three hosts in one event loop, with data folders on disk. */
class RegistryGroupTest : public testing::Test
{
protected:
    static constexpr std::size_t hostCount = 3;

    RegistryGroupTest()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "registry-XXXXXX").string();
        this->root = ::mkdtemp(pattern.data());
        for (std::size_t i = 0; i < hostCount; ++i) {
            this->addHost(i, true);
        }
        for (const auto &host : this->hosts) {
            EXPECT_EQ(host->engine.start(), "");
        }
    }

    ~RegistryGroupTest() override
    {
        this->hosts.clear();
        std::filesystem::remove_all(this->root);
    }

    /** Adds the host with address @p index; its engine is not started yet. */
    TestHost &addHost(std::size_t index, bool bootstrap)
    {
        auto host = std::make_unique<TestHost>(this->loop, this->settingsOf(index, bootstrap),
                                               this->codec);
        const std::string reason
                = host->server.listen({ host->settings.ip, host->settings.internalPort });
        EXPECT_EQ(reason, "");
        this->port = host->server.port(); // the first host takes any free port
        host->settings.internalPort = this->port;
        this->hosts.push_back(std::move(host));
        return *this->hosts.back();
    }

    SiteSettings settingsOf(std::size_t index, bool bootstrap) const
    {
        SiteSettings settings;
        settings.host = "core-" + std::to_string(index + 1);
        settings.ip = ipOf(index);
        settings.bindIp = settings.ip;
        settings.internalPort = this->port;
        for (const std::size_t seed : this->seedIndexes) {
            settings.seeds.push_back({ ipOf(seed), this->port });
        }
        RegistrySettings role;
        role.dataFolder = this->root + "/" + settings.host;
        role.bootstrap = bootstrap;
        settings.role = role;
        return settings;
    }

    static std::string ipOf(std::size_t index) { return "127.0.0." + std::to_string(index + 1); }

    /** Returns the host that leads with a lease once all hosts may vote, or null. */
    RegistryEngine *waitForLeader()
    {
        RegistryEngine *leader = nullptr;
        waitUntil(this->loop, [&] {
            for (const auto &host : this->hosts) {
                GroupMember &member = host->engine.member();
                const bool leads = member.isLeader() && member.hasLease();
                const bool isComplete
                        = member.hint().members.size() == hostCount && member.hasEnoughVoters();
                leader = leads && isComplete ? &host->engine : leader;
            }
            return leader != nullptr;
        });
        return leader;
    }

    EventLoop loop;
    FakeCodec codec;
    std::string root;
    std::uint16_t port = 0;
    std::vector<std::size_t> seedIndexes { 0, 1, 2 }; // of hosts that are added from now on
    std::vector<std::unique_ptr<TestHost>> hosts;
};

} // namespace cassiaroad
