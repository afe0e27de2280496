#pragma once

#include "process/logentry.h"
#include "process/storagefile.h"

namespace cassiaroad {

/** Snapshot files of one member; at most the latest one is kept. Not thread-safe. */
class SnapshotStore
{
public:
    using LoadResult = std::variant<std::optional<Snapshot>, Corruption, StorageError>;

    explicit SnapshotStore(StorageOptions options);

    /** Reads the latest snapshot and deletes leftovers of interrupted saves. */
    LoadResult load();

    /**
     * Writes to a temporary name, syncs, renames, syncs the folder, deletes the older one. The
     * older one stays if that fails.
     */
    std::optional<StorageError> save(const Snapshot &snapshot);

private:
    std::optional<StorageError> removeExcept(const std::string &kept);

    StorageOptions options;
};

} // namespace cassiaroad
