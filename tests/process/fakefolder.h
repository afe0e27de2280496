#pragma once

#include "process/replica.h"

namespace cassiaroad::test {

/** Content of a data folder, as it would be after a loss of power. */
struct FakeFolder
{
    MemberId id;
    std::uint64_t startCounter = 0;
    HardState hardState;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> entries;

    void apply(const Persist &persist);
    void install(const Snapshot &received);
    /** What DataFolder::open() does with a log that ends before the snapshot. */
    void dropStaleLog();
    bool isVoter() const;
    bool stores(const LogEntry &entry) const;
};

} // namespace cassiaroad::test
