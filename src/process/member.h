#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cassiaroad {

/** Position in the replicated log; the first entry has index 1. */
using LogIndex = std::uint64_t;
/** Number of an election; at most one leader per term. */
using Term = std::uint64_t;

/** Identifies a data folder: the slot number from the settings and a random number. */
struct MemberId
{
    std::uint32_t number = 0;
    // Drawn when the folder is created. In the receiver of a message 0 matches any incarnation.
    std::uint64_t incarnation = 0;

    auto operator<=>(const MemberId &) const = default;
};

/** One run of a member: from one start of its process to the next. */
struct MemberRun
{
    MemberId member;
    std::uint64_t startCounter = 0;
    std::uint64_t nonce = 0; // random; distinguishes runs of two copies of one folder

    auto operator<=>(const MemberRun &) const = default;
};

/** The voting members. Learners are not part of it. */
struct Configuration
{
    std::vector<MemberId> voters; // ascending

    bool operator==(const Configuration &) const = default;
    bool contains(const MemberId &id) const
    {
        return std::find(this->voters.begin(), this->voters.end(), id) != this->voters.end();
    }
    /** Number of voters that form a majority. */
    std::size_t majority() const { return this->voters.size() / 2 + 1; }
};

} // namespace cassiaroad
