#include "process/datafolder.h"

#include "process/identityfile.h"

#include <filesystem>

namespace cassiaroad {

namespace {

constexpr std::uint64_t firstStart = 1;

/** Whether the log continues the snapshot; an interrupted installation leaves an older log. */
bool continuesSnapshot(const Snapshot &snapshot, const std::vector<LogEntry> &entries)
{
    if (entries.empty() || entries.back().index < snapshot.meta.index) {
        return false;
    }
    const LogIndex first = entries.front().index;
    return first > snapshot.meta.index
           || entries[snapshot.meta.index - first].term == snapshot.meta.term;
}

LogIndex firstIndexAfter(const std::optional<Snapshot> &snapshot)
{
    return snapshot ? snapshot->meta.index + 1 : 1;
}

} // namespace

DataFolder::DataFolder(LogStore log, SnapshotStore snapshots)
    : log(std::move(log))
    , snapshots(std::move(snapshots))
{ }

FolderOpenResult DataFolder::open(const StorageOptions &options, std::uint32_t number)
{
    const auto read = readIdentity(options.folder);
    if (const auto *error = std::get_if<StorageError>(&read)) {
        return *error;
    }
    if (const auto *corruption = std::get_if<Corruption>(&read)) {
        return *corruption;
    }
    std::optional<MemberIdentity> identity = std::get<std::optional<MemberIdentity>>(read);
    if (!identity) {
        return FolderEmpty {};
    }
    if (identity->member.number != number) {
        const std::string owner = std::to_string(identity->member.number);
        return Corruption { options.folder, 0, "the folder belongs to member " + owner };
    }
    FolderOpenResult result = load(options, identity->member);
    if (auto *opened = std::get_if<FolderOpened>(&result)) {
        ++identity->startCounter;
        opened->recovered.startCounter = identity->startCounter;
        if (auto error = writeIdentity(options.folder, *identity)) {
            return *error;
        }
    }
    return result;
}

FolderOpenResult DataFolder::load(const StorageOptions &options, const MemberId &member)
{
    SnapshotStore snapshots(options);
    auto loadedSnapshot = snapshots.load();
    if (const auto *error = std::get_if<StorageError>(&loadedSnapshot)) {
        return *error;
    }
    if (const auto *corruption = std::get_if<Corruption>(&loadedSnapshot)) {
        return *corruption;
    }
    LogStore log(options);
    auto loadedLog = log.load();
    if (const auto *error = std::get_if<StorageError>(&loadedLog)) {
        return *error;
    }
    if (const auto *corruption = std::get_if<Corruption>(&loadedLog)) {
        return *corruption;
    }
    auto &snapshot = std::get<std::optional<Snapshot>>(loadedSnapshot);
    LogContent &content = std::get<LogContent>(loadedLog);
    const LogIndex first = firstIndexAfter(snapshot);
    if (!content.entries.empty() && content.entries.front().index > first) {
        return Corruption { options.folder, 0, "entries behind the snapshot are missing" };
    }
    if (snapshot && !continuesSnapshot(*snapshot, content.entries)) {
        content.entries.clear();
        if (auto error = log.reset(first)) {
            return *error;
        }
    }
    FolderOpened opened;
    opened.recovered = { member, 0, std::move(content.hardState), std::move(snapshot),
                         std::move(content.entries) };
    opened.tornTail = content.tornTail;
    opened.folder.reset(new DataFolder(std::move(log), std::move(snapshots)));
    return opened;
}

FolderOpenResult DataFolder::create(const StorageOptions &options, const MemberId &id)
{
    std::error_code error;
    std::filesystem::create_directories(options.folder, error);
    if (error) {
        return StorageError { options.folder, "create", error.value() };
    }
    const std::filesystem::path parent = std::filesystem::absolute(options.folder).parent_path();
    if (auto failure = syncFolder(parent.string())) {
        return *failure;
    }
    // A folder without an identity file counts as empty, so that an interruption of the following
    // steps leaves no partial folder that could be opened.
    if (auto failure = removeIdentity(options.folder)) {
        return *failure;
    }
    for (const std::string &name : listFolder(options.folder)) {
        const bool stored = name.starts_with("log-") || name.starts_with("snapshot-");
        if (stored) {
            if (auto failure = removeFile(options.folder + "/" + name)) {
                return *failure;
            }
        }
    }
    if (auto failure = writeIdentity(options.folder, { id, firstStart - 1 })) {
        return *failure;
    }
    return open(options, id.number);
}

std::optional<StorageError> DataFolder::persist(const std::vector<Persist> &batch)
{
    std::optional<HardState> hardState;
    std::vector<LogEntry> entries;
    LogIndex compactBefore = 0;
    for (const Persist &persist : batch) {
        hardState = persist.hardState ? persist.hardState : hardState;
        entries.insert(entries.end(), persist.entries.begin(), persist.entries.end());
        compactBefore = std::max(compactBefore, persist.compactBefore);
    }
    if (auto error = this->log.append(hardState, entries)) {
        return error;
    }
    return this->log.compactBefore(compactBefore);
}

std::optional<StorageError> DataFolder::saveSnapshot(const Snapshot &snapshot)
{
    return this->snapshots.save(snapshot);
}

std::optional<StorageError> DataFolder::installSnapshot(const Snapshot &snapshot)
{
    if (auto error = this->snapshots.save(snapshot)) {
        return error;
    }
    return this->log.reset(snapshot.meta.index + 1);
}

} // namespace cassiaroad
