#pragma once

#include "process/clock.h"

#include <cstdint>
#include <cstdio>
#include <map>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

namespace cassiaroad {

/**
 * The grants an upstream holds, their lease, and what it has in progress for each of them. A grant
 * is named as in the Cassiaroad-Grant header: "shard/<n>/<epoch>" or "key/<epoch>" with a key. Not
 * thread-safe.
 */
class UpstreamGrants
{
public:
    /** Takes the answer to an announcement that was sent at @p sentAt. */
    void take(const nlohmann::json &answer, TimePoint sentAt)
    {
        const TimePoint end = sentAt + Milliseconds { answer.at("lease_ms").get<std::int64_t>() };
        this->leaseEnd = std::max(this->leaseEnd, end);
        if (!answer.value("unchanged", false)) {
            this->replace(answer.at("grants"));
        }
    }

    std::uint64_t version() const { return this->heldVersion; }
    bool isLeaseLive(TimePoint now) const { return now < this->leaseEnd; }
    bool isEmpty() const { return this->shards.empty() && this->keys.empty(); }
    std::size_t shardCount() const { return this->shards.size(); }

    /** Whether a request with @p header for @p key may start. */
    bool allows(const std::string &header, const std::string &key, TimePoint now) const
    {
        if (!this->isLeaseLive(now)) {
            return false;
        }
        unsigned int number = 0;
        if (std::sscanf(header.c_str(), "shard/%u/", &number) == 1) {
            const auto shard = this->shards.find(number);
            return shard != this->shards.end() && header == shardName(number, shard->second.epoch)
                   && !shard->second.releasing && !this->movedAway.contains(key);
        }
        const auto grant = this->keys.find(key);
        return grant != this->keys.end() && header == keyName(grant->second.epoch)
               && !grant->second.releasing;
    }

    /** Counts a request in progress under a grant. */
    void begin(const std::string &header, const std::string &key)
    {
        ++this->inProgress[use(header, key)];
    }

    void end(const std::string &header, const std::string &key)
    {
        const auto count = this->inProgress.find(use(header, key));
        if (count != this->inProgress.end() && --count->second == 0) {
            this->inProgress.erase(count);
        }
    }

    /** Adds "released" and "released_keys": what is releasing and has nothing in progress. */
    void addReleased(nlohmann::json &announcement) const
    {
        announcement["released"] = nlohmann::json::array();
        announcement["released_keys"] = nlohmann::json::array();
        for (const auto &[shard, grant] : this->shards) {
            if (grant.releasing && !this->inProgress.contains(shardName(shard, grant.epoch))) {
                announcement["released"].push_back(
                        { { "shard", shard }, { "epoch", grant.epoch } });
            }
        }
        for (const auto &[key, grant] : this->keys) {
            if (grant.releasing && !this->inProgress.contains(use(keyName(grant.epoch), key))) {
                announcement["released_keys"].push_back(
                        { { "key", key }, { "epoch", grant.epoch } });
            }
        }
    }

private:
    struct Grant
    {
        std::uint64_t epoch = 0;
        bool releasing = false;
    };

    static std::string shardName(std::uint32_t shard, std::uint64_t epoch)
    {
        return "shard/" + std::to_string(shard) + "/" + std::to_string(epoch);
    }

    static std::string keyName(std::uint64_t epoch) { return "key/" + std::to_string(epoch); }

    static std::string use(const std::string &header, const std::string &key)
    {
        return header.starts_with("key/") ? header + " " + key : header;
    }

    void replace(const nlohmann::json &grants)
    {
        this->heldVersion = grants.at("version").get<std::uint64_t>();
        this->shards.clear();
        this->keys.clear();
        this->movedAway.clear();
        for (const nlohmann::json &shard : grants.at("shards")) {
            this->shards[shard.at("shard").get<std::uint32_t>()]
                    = { shard.at("epoch").get<std::uint64_t>(), shard.value("releasing", false) };
        }
        for (const nlohmann::json &key : grants.at("keys")) {
            this->keys[key.at("key").get<std::string>()]
                    = { key.at("epoch").get<std::uint64_t>(), key.value("releasing", false) };
        }
        for (const nlohmann::json &key : grants.at("moved_away")) {
            this->movedAway.insert(key.get<std::string>());
        }
    }

    TimePoint leaseEnd;
    std::uint64_t heldVersion = 0;
    std::map<std::uint32_t, Grant> shards;
    std::map<std::string, Grant> keys;
    std::set<std::string> movedAway;
    std::map<std::string, std::uint32_t> inProgress;
};

} // namespace cassiaroad
