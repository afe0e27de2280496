#pragma once

#include "process/logstore.h"
#include "process/replica.h"
#include "process/snapshotstore.h"

namespace cassiaroad {

class DataFolder;

/** The folder belongs to no member yet; call DataFolder::create(). */
struct FolderEmpty
{ };

/** The folder is usable and its start counter was incremented. */
struct FolderOpened
{
    std::unique_ptr<DataFolder> folder;
    RecoveredState recovered;
    std::optional<TornTail> tornTail; // an incomplete last write that was truncated
};

using FolderOpenResult = std::variant<FolderEmpty, FolderOpened, Corruption, StorageError>;

/**
 * Storage of one member: identity file, log and snapshots. Every method that returns no error has
 * synced its result. Do not use the object after an error; open the folder again. Not thread-safe.
 */
class DataFolder
{
public:
    /** Opens an existing folder for a start of member @p number, increments its start counter. */
    static FolderOpenResult open(const StorageOptions &options, std::uint32_t number);

    /** Deletes stored data of the folder and creates the member @p id in it, start counter 1. */
    static FolderOpenResult create(const StorageOptions &options, const MemberId &id);

    /** Writes and syncs several Persists at once; the caller reports LogSynced for the last one. */
    std::optional<StorageError> persist(const std::vector<Persist> &batch);

    /** Saves a snapshot of this member's state machine; leaves the log as it is. */
    std::optional<StorageError> saveSnapshot(const Snapshot &snapshot);

    /** Saves a snapshot that was received from the leader and restarts the log after it. */
    std::optional<StorageError> installSnapshot(const Snapshot &snapshot);

private:
    static FolderOpenResult load(const StorageOptions &options, const MemberId &member);

    DataFolder(LogStore log, SnapshotStore snapshots);

    LogStore log;
    SnapshotStore snapshots;
};

} // namespace cassiaroad
