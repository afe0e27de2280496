#pragma once

#include "process/replica.h"

namespace cassiaroad::test {

/** Content of a data folder as it would be after a power failure. */
struct FakeFolder
{
    MemberId id;
    std::uint64_t startCounter = 0;
    HardState hardState;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> entries;

    /** Stores what has been written and synced. */
    void apply(const Persist &persist);
    void install(const Snapshot &received);
    /** Clears a log that ends before the snapshot, like DataFolder::open(). */
    void dropStaleLog();
    /** Whether the latest stored configuration contains the member. */
    bool isVoter() const;
    /** Whether the log or the snapshot contains @p entry. */
    bool stores(const LogEntry &entry) const;
};

} // namespace cassiaroad::test
