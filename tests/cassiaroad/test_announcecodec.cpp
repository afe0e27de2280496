#include "cassiaroad/announcecodec.h"

#include <capnp/message.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace cassiaroad;

namespace {

const std::string example
        = R"({"service":"orders","name":"orders-1","zone":"etela-a","address":"127.0.0.1:9001",
 "slots":6,"connections":120,"checks_grants":true,"instance":"5f3c9a","draining":false,
 "held_grants":12,"released":[{"shard":7,"epoch":3}],"released_keys":[{"key":"k","epoch":2}],
 "load":0.5})";

bool isError(const std::string &json)
{
    return std::holds_alternative<AnnouncementError>(parseAnnouncement(json));
}

} // namespace

// Guards against a field of the published protocol that is not decoded (section 6.6).
TEST(AnnounceCodec, readsTheDocumentedAnnouncement)
{
    const auto parsed = parseAnnouncement(example);
    const auto *announcement = std::get_if<Announcement>(&parsed);
    ASSERT_NE(announcement, nullptr) << std::get<AnnouncementError>(parsed).reason;
    EXPECT_EQ(*announcement, (Announcement { { { "orders", "orders-1" },
                                               "etela-a",
                                               "127.0.0.1:9001",
                                               6,
                                               120,
                                               true,
                                               "5f3c9a",
                                               false },
                                             12,
                                             { { 7, 3 } },
                                             { { "k", 2 } },
                                             0.5 }));
}

TEST(AnnounceCodec, refusesInvalidAnnouncements)
{
    EXPECT_TRUE(isError(""));
    EXPECT_TRUE(isError("[]"));
    EXPECT_TRUE(isError("{}"));
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>> {
                 { "\"orders\"", "\"\"" },
                 { "\"orders\"", "\"a/b\"" },
                 { "127.0.0.1:9001", "nowhere" },
                 { "\"slots\":6", "\"slots\":0" },
                 { "\"slots\":6", "\"slots\":\"six\"" },
                 { "\"5f3c9a\"", "\"\"" },
                 { "\"epoch\":3", "\"epoch\":\"x\"" } }) {
        std::string changed = example;
        changed.replace(changed.find(from), from.size(), to);
        EXPECT_TRUE(isError(changed)) << changed;
    }
}

TEST(AnnounceCodec, encodesGrants)
{
    capnp::MallocMessageBuilder message;
    auto accepted = message.initRoot<rpc::AnnounceReply>().initAccepted();
    accepted.setLeaseMs(1000);
    auto grants = accepted.initGrants();
    grants.setVersion(13);
    auto shard = grants.initShards(1)[0];
    shard.setShard(7);
    shard.initRoute().setEpoch(3);
    auto key = grants.initKeys(1)[0];
    key.setKey("k");
    key.initRoute().setEpoch(2);
    key.getRoute().setState(rpc::RouteState::RELEASING);
    grants.initMovedAway(1)[0].setKey("k2");
    EXPECT_EQ(nlohmann::json::parse(acceptedAnnouncementJson(accepted.asReader(), 150)),
              nlohmann::json::parse(R"({"lease_ms":1000,"announce_ms":150,"grants":{"version":13,
     "shards":[{"shard":7,"epoch":3,"releasing":false}],
     "keys":[{"key":"k","epoch":2,"releasing":true}],"moved_away":["k2"]}})"));
}
