#include "process/datafolder.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/resource.h>

using namespace cassiaroad;

namespace {

const MemberId member { 2, 99 };

class DataFolderTest : public testing::Test
{
protected:
    DataFolderTest()
    {
        std::string name = (std::filesystem::temp_directory_path() / "datafolder-XXXXXX").string();
        this->options.folder = ::mkdtemp(name.data());
        this->options.segmentBytes = 2000;
    }
    ~DataFolderTest() override { std::filesystem::remove_all(this->options.folder); }

    FolderOpened create()
    {
        return std::get<FolderOpened>(DataFolder::create(this->options, member));
    }
    FolderOpenResult open() { return DataFolder::open(this->options, member.number); }
    FolderOpened opened() { return std::get<FolderOpened>(this->open()); }

    /** Persists entries [from, to], each in an append of its own. */
    void appendEntries(DataFolder &folder, LogIndex from, LogIndex to, Term term = 1)
    {
        for (LogIndex index = from; index <= to; ++index) {
            ASSERT_FALSE(folder.persist({ persistOf(index, index, term) }));
        }
    }
    static Persist persistOf(LogIndex from, LogIndex to, Term term = 1)
    {
        Persist persist;
        persist.hardState = HardState { term, member, {}, {} };
        for (LogIndex index = from; index <= to; ++index) {
            const std::string text = "command " + std::to_string(index);
            persist.entries.push_back({ index, term, CommandBytes { text } });
        }
        return persist;
    }
    static Snapshot snapshotAt(LogIndex index, Term term = 1)
    {
        return { { index, term, { { member } } }, std::make_shared<const std::string>("state") };
    }

    std::vector<std::string> files(const std::string &prefix) const
    {
        std::vector<std::string> found;
        for (const std::string &name : listFolder(this->options.folder)) {
            if (name.starts_with(prefix)) {
                found.push_back(this->options.folder + "/" + name);
            }
        }
        return found;
    }
    static void flipBit(const std::string &path, std::uint64_t offset)
    {
        std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
        file.seekg(static_cast<std::streamoff>(offset));
        const char byte = static_cast<char>(file.get());
        file.seekp(static_cast<std::streamoff>(offset));
        file.put(static_cast<char>(byte ^ 1));
    }

    StorageOptions options;
};

} // namespace

// Guards against recovered content that differs from what was synced.
TEST_F(DataFolderTest, reopensWithEverythingThatWasSynced)
{
    EXPECT_TRUE(std::holds_alternative<FolderEmpty>(this->open()));
    auto created = this->create();
    EXPECT_EQ(created.recovered.startCounter, 1U);
    this->appendEntries(*created.folder, 1, 60);
    this->appendEntries(*created.folder, 40, 45, 2); // replaces 40 to 60
    EXPECT_GT(this->files("log-").size(), 3U);
    created.folder.reset();

    const auto again = this->opened();
    EXPECT_EQ(again.recovered.startCounter, 2U);
    EXPECT_EQ(again.recovered.member, member);
    EXPECT_EQ(again.recovered.hardState, (HardState { 2, member, {}, {} }));
    ASSERT_EQ(again.recovered.entries.size(), 45U);
    EXPECT_EQ(again.recovered.entries[38].term, 1U);
    EXPECT_EQ(again.recovered.entries[39].term, 2U);
    EXPECT_FALSE(again.tornTail);
}

// Guards against a member that is started with the folder of another one.
TEST_F(DataFolderTest, refusesTheFolderOfAnotherMember)
{
    this->create();
    EXPECT_TRUE(std::holds_alternative<Corruption>(DataFolder::open(this->options, 1)));
}

// Guards against a crash in the middle of a write, at every byte of it.
TEST_F(DataFolderTest, truncatesATornLastWriteAtAnyByte)
{
    auto created = this->create();
    this->appendEntries(*created.folder, 1, 3);
    const std::string path = this->files("log-").back();
    const auto synced = std::filesystem::file_size(path);
    ASSERT_FALSE(created.folder->persist({ persistOf(4, 6) }));
    created.folder.reset();
    std::string completeLog = std::get<std::string>(readWholeFile(path));
    for (auto size = synced + 1; size < completeLog.size(); ++size) {
        std::ofstream(path, std::ios::binary) << completeLog.substr(0, size);
        const auto again = this->opened();
        ASSERT_EQ(again.tornTail, (TornTail { path, synced })) << "cut at byte " << size;
        ASSERT_EQ(again.recovered.entries.size(), 3U);
    }
    auto last = this->opened();
    EXPECT_FALSE(last.tornTail);
    this->appendEntries(*last.folder, 4, 4);
    EXPECT_EQ(this->opened().recovered.entries.size(), 4U);
}

// Guards against a failed start after a torn write whose later blocks reached the disk before the
// earlier ones.
TEST_F(DataFolderTest, treatsDamageWithinTheLastWriteAsATornWrite)
{
    auto created = this->create();
    this->appendEntries(*created.folder, 1, 3);
    const std::string path = this->files("log-").back();
    const auto synced = std::filesystem::file_size(path);
    ASSERT_FALSE(created.folder->persist({ persistOf(4, 6) }));
    created.folder.reset();
    flipBit(path, synced + 10);
    const auto again = this->opened();
    EXPECT_EQ(again.tornTail, (TornTail { path, synced }));
    EXPECT_EQ(again.recovered.entries.size(), 3U);
}

// Guards against a damaged record that is treated as a torn write, which would drop synced entries.
TEST_F(DataFolderTest, reportsAFlippedByteBeforeValidDataAsCorruption)
{
    auto created = this->create();
    this->appendEntries(*created.folder, 1, 30);
    created.folder.reset();
    ASSERT_GT(this->files("log-").size(), 1U);
    for (const std::string &path : this->files("log-")) {
        const bool last = path == this->files("log-").back();
        const auto size = std::filesystem::file_size(path);
        // The last append takes less than 300 bytes.
        const auto end = last ? (size > 300 ? size - 300 : 0) : size;
        for (std::uint64_t offset = 0; offset < end; offset += 7) {
            flipBit(path, offset);
            const FolderOpenResult result = this->open();
            const auto *corruption = std::get_if<Corruption>(&result);
            ASSERT_NE(corruption, nullptr) << path << " byte " << offset;
            ASSERT_EQ(corruption->file, path);
            ASSERT_LE(corruption->offset, offset);
            flipBit(path, offset);
        }
    }
    EXPECT_EQ(this->opened().recovered.entries.size(), 30U);
}

// Guards against a missing segment in the middle of the log that goes undetected.
TEST_F(DataFolderTest, reportsAMissingSegmentAsCorruption)
{
    auto created = this->create();
    this->appendEntries(*created.folder, 1, 60);
    created.folder.reset();
    std::filesystem::remove(this->files("log-")[1]);
    EXPECT_TRUE(std::holds_alternative<Corruption>(this->open()));
}

// Guards against a damaged snapshot that is loaded or silently ignored.
TEST_F(DataFolderTest, reportsADamagedSnapshotAsCorruption)
{
    auto created = this->create();
    this->appendEntries(*created.folder, 1, 5);
    ASSERT_FALSE(created.folder->saveSnapshot(snapshotAt(4)));
    created.folder.reset();
    const std::string path = this->files("snapshot-").at(0);
    flipBit(path, std::filesystem::file_size(path) - 1);
    const FolderOpenResult result = this->open();
    ASSERT_TRUE(std::holds_alternative<Corruption>(result));
    EXPECT_EQ(std::get<Corruption>(result).file, path);
}

// Guards against incomplete snapshots that are loaded, and against old ones that fill the disk.
TEST_F(DataFolderTest, keepsTheLatestSnapshotAndCompactsTheLog)
{
    auto created = this->create();
    this->appendEntries(*created.folder, 1, 60);
    ASSERT_FALSE(created.folder->saveSnapshot(snapshotAt(20)));
    ASSERT_FALSE(created.folder->saveSnapshot(snapshotAt(50)));
    const std::size_t before = this->files("log-").size();
    Persist compact;
    compact.compactBefore = 48;
    ASSERT_FALSE(created.folder->persist({ compact }));
    EXPECT_LT(this->files("log-").size(), before);
    created.folder.reset();
    std::ofstream(this->options.folder + "/snapshot-00000000000000ff.tmp") << "half";

    const auto again = this->opened();
    EXPECT_EQ(this->files("snapshot-").size(), 1U);
    EXPECT_EQ(again.recovered.snapshot, snapshotAt(50));
    EXPECT_LE(again.recovered.entries.front().index, 48U);
    EXPECT_EQ(again.recovered.entries.back().index, 60U);
    EXPECT_EQ(again.recovered.hardState.term, 1U);
}

// Guards against a log that still contains entries from before an installed snapshot.
TEST_F(DataFolderTest, restartsTheLogAfterAnInstalledSnapshot)
{
    auto created = this->create();
    this->appendEntries(*created.folder, 1, 10);
    ASSERT_FALSE(created.folder->installSnapshot(snapshotAt(50, 3)));
    this->appendEntries(*created.folder, 51, 52, 3);
    created.folder.reset();
    auto again = this->opened();
    EXPECT_EQ(again.recovered.snapshot, snapshotAt(50, 3));
    ASSERT_EQ(again.recovered.entries.size(), 2U);
    EXPECT_EQ(again.recovered.entries.front().index, 51U);

    // The same, interrupted between the snapshot and the log.
    ASSERT_FALSE(again.folder->saveSnapshot(snapshotAt(70, 4)));
    again.folder.reset();
    auto third = this->opened();
    EXPECT_TRUE(third.recovered.entries.empty());
    this->appendEntries(*third.folder, 71, 71, 4);
    EXPECT_EQ(this->opened().recovered.entries.size(), 1U);
}

// Guards against a full disk that damages synced entries, and against writes after the error.
TEST_F(DataFolderTest, fullDiskRefusesWritesAndKeepsWhatWasSynced)
{
    auto created = this->create();
    created.folder.reset();
    this->options.maxBytes = 1000;
    auto limited = this->opened();
    LogIndex stored = 0;
    std::optional<StorageError> error;
    while (!error && stored < 100) {
        error = limited.folder->persist({ persistOf(stored + 1, stored + 1) });
        stored += error ? 0 : 1;
    }
    ASSERT_TRUE(error);
    EXPECT_EQ(error->errorNumber, ENOSPC);
    EXPECT_TRUE(limited.folder->persist({ persistOf(stored + 1, stored + 1) }));
    limited.folder.reset();
    this->options.maxBytes = 0;
    auto again = this->opened();
    EXPECT_TRUE(again.tornTail);
    EXPECT_EQ(again.recovered.entries.size(), stored);
    this->appendEntries(*again.folder, stored + 1, stored + 1);
    EXPECT_EQ(this->opened().recovered.entries.size(), stored + 1);
}

// Guards against records after an incomplete one, which would look like corruption at the next
// start. After the error there is space again, as when an operator deletes files.
TEST_F(DataFolderTest, writesNothingAfterAnErrorEvenIfThereIsSpaceAgain)
{
    auto created = this->create();
    this->appendEntries(*created.folder, 1, 3);
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit before {};
    ASSERT_EQ(getrlimit(RLIMIT_FSIZE, &before), 0);
    rlimit small = before;
    small.rlim_cur = std::filesystem::file_size(this->files("log-").back()) + 20;
    ASSERT_EQ(setrlimit(RLIMIT_FSIZE, &small), 0);
    const auto error = created.folder->persist({ persistOf(4, 4) });
    ASSERT_EQ(setrlimit(RLIMIT_FSIZE, &before), 0);
    ASSERT_TRUE(error);
    EXPECT_EQ(error->errorNumber, EFBIG);
    EXPECT_TRUE(created.folder->persist({ persistOf(4, 4) }));
    EXPECT_TRUE(created.folder->persist({ persistOf(5, 5) }));
    created.folder.reset();
    const auto again = this->opened();
    EXPECT_TRUE(again.tornTail);
    EXPECT_EQ(again.recovered.entries.size(), 3U);
}

// Guards against a folder that is still used although its identity file is missing.
TEST_F(DataFolderTest, folderWithoutIdentityIsEmptyAndCreateDropsTheRest)
{
    auto created = this->create();
    this->appendEntries(*created.folder, 1, 5);
    created.folder.reset();
    std::filesystem::remove(this->options.folder + "/identity");
    EXPECT_TRUE(std::holds_alternative<FolderEmpty>(this->open()));
    const auto again = this->create();
    EXPECT_TRUE(again.recovered.entries.empty());
    EXPECT_EQ(again.recovered.hardState, HardState {});
}
