#pragma once

#include "process/logentry.h"
#include "process/storagefile.h"

namespace cassiaroad {

/** Stores the snapshot files of one member; only the latest one is retained. Not thread-safe. */
class SnapshotStore
{
public:
    using LoadResult = std::variant<std::optional<Snapshot>, Corruption, StorageError>;

    explicit SnapshotStore(StorageOptions options);

    /** Reads the latest snapshot; deletes older ones and temporary files of interrupted saves. */
    LoadResult load();

    /**
     * Saves @p snapshot with replaceFile(), then deletes the previous one. The previous one stays
     * if saving fails.
     */
    std::optional<StorageError> save(const Snapshot &snapshot);

private:
    std::optional<StorageError> removeExcept(const std::string &retained);

    StorageOptions options;
};

} // namespace cassiaroad
