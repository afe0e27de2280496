#pragma once

#include "process/logstore.h"
#include "process/replica.h"
#include "process/snapshotstore.h"

namespace cassiaroad {

class DataFolder;

/** The folder holds no member yet; create one. */
struct FolderEmpty
{ };

/** The folder is usable and the start counter is raised. */
struct FolderOpened
{
    std::unique_ptr<DataFolder> folder;
    RecoveredState recovered;
    std::optional<TornTail> tornTail; // an incomplete last write was cut off
};

using FolderOpenResult = std::variant<FolderEmpty, FolderOpened, Corruption, StorageError>;

/**
 * Storage of one member: identity file, log and snapshots. Every method that returns no error has
 * synced its result. After an error the folder refuses everything; open it again. Not thread-safe.
 */
class DataFolder
{
public:
    /** Opens an existing folder for a start of member @p number and raises its start counter. */
    static FolderOpenResult open(const StorageOptions &options, std::uint32_t number);

    /** Deletes what the folder holds and creates @p id in it, with start counter 1. */
    static FolderOpenResult create(const StorageOptions &options, const MemberId &id);

    /** Writes and syncs several Persists at once; then report LogSynced for the last one. */
    std::optional<StorageError> persist(const std::vector<Persist> &batch);

    /** Saves a snapshot of the own state machine; keeps the log. */
    std::optional<StorageError> saveSnapshot(const Snapshot &snapshot);

    /** Saves a received snapshot and restarts the log behind it. */
    std::optional<StorageError> installSnapshot(const Snapshot &snapshot);

private:
    static FolderOpenResult load(const StorageOptions &options, const MemberId &member);

    DataFolder(LogStore log, SnapshotStore snapshots);

    LogStore log;
    SnapshotStore snapshots;
};

} // namespace cassiaroad
