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
 * Grants of shards and keys that an upstream has, their lease, and the number of requests in
 * progress for each of them. A grant is named as in the Cassiaroad-Grant header:
 * "shard/<n>/<epoch>" for a shard, or "key/<epoch>" for the key of the request. Not thread-safe.
 */
class UpstreamGrants
{
public:
    /**
     * Applies the response to an announcement that was sent at @p sentAt: extends the lease, which
     * counts from @p sentAt, and replaces the grants if they have changed. Throws
     * nlohmann::json::exception if a field is missing or of the wrong type.
     */
    void applyResponse(const nlohmann::json &response, TimePoint sentAt)
    {
        const TimePoint end = sentAt + Milliseconds { response.at("lease_ms").get<std::int64_t>() };
        this->leaseEnd = std::max(this->leaseEnd, end);
        if (!response.value("unchanged", false)) {
            this->replaceGrants(response.at("grants"));
        }
    }

    /** Version of the grants, which the next announcement reports; 0 before the first response. */
    std::uint64_t version() const { return this->grantsVersion; }
    bool isLeaseValid(TimePoint now) const { return now < this->leaseEnd; }
    bool isEmpty() const { return this->shards.empty() && this->keys.empty(); }
    std::size_t shardCount() const { return this->shards.size(); }

    /** Whether a request for @p key with the Cassiaroad-Grant header @p header can start. */
    bool allows(const std::string &header, const std::string &key, TimePoint now) const
    {
        if (!this->isLeaseValid(now)) {
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

    /** Counts a request that starts under the grant that @p header names. */
    void begin(const std::string &header, const std::string &key)
    {
        ++this->inProgress[progressName(header, key)];
    }

    /** Counts the end of a request that begin() counted. */
    void end(const std::string &header, const std::string &key)
    {
        const auto count = this->inProgress.find(progressName(header, key));
        if (count != this->inProgress.end() && --count->second == 0) {
            this->inProgress.erase(count);
        }
    }

    /**
     * Adds "released" and "released_keys" to @p announcement: the grants that are to be released
     * and have no request in progress.
     */
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
            if (grant.releasing
                && !this->inProgress.contains(progressName(keyName(grant.epoch), key))) {
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

    /** Name under which requests are counted: of one shard, or of one key. */
    static std::string progressName(const std::string &header, const std::string &key)
    {
        return header.starts_with("key/") ? header + " " + key : header;
    }

    void replaceGrants(const nlohmann::json &grants)
    {
        this->grantsVersion = grants.at("version").get<std::uint64_t>();
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
    std::uint64_t grantsVersion = 0;
    std::map<std::uint32_t, Grant> shards;
    std::map<std::string, Grant> keys;
    std::set<std::string> movedAway;
    std::map<std::string, std::uint32_t> inProgress;
};

} // namespace cassiaroad
