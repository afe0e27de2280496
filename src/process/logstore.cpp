#include "process/logstore.h"

#include "process/logcodec.h"

#include <array>
#include <cerrno>
#include <cstdio>

namespace cassiaroad {

namespace {

constexpr std::string_view segmentPrefix = "log-";

// The number is zero-padded, so that the order of names is the order of segments.
std::string segmentName(std::uint64_t firstBatch)
{
    std::array<char, 32> name {};
    std::snprintf(name.data(), name.size(), "log-%016llx",
                  static_cast<unsigned long long>(firstBatch));
    return name.data();
}

LogRecord hardStateRecord(const HardState &state)
{
    LogRecord record;
    record.kind = LogRecord::Kind::HardState;
    record.term = state.term;
    record.payload = encodeHardState(state);
    return record;
}

LogRecord resetRecord(LogIndex next)
{
    LogRecord record;
    record.kind = LogRecord::Kind::Reset;
    record.index = next;
    return record;
}

} // namespace

LogStore::LogStore(StorageOptions settings)
    : options(std::move(settings))
{ }

std::string LogStore::pathOf(const std::string &name) const
{
    return this->options.folder + "/" + name;
}

std::optional<StorageError> LogStore::fail(StorageError error)
{
    this->firstError = std::move(error);
    return this->firstError;
}

std::variant<LogContent, Corruption, StorageError> LogStore::load()
{
    LogContent content;
    for (const std::string &name : listFolder(this->options.folder)) {
        if (name.starts_with(segmentPrefix)) {
            this->segments.push_back({ name });
        }
    }
    for (std::size_t i = 0; i < this->segments.size(); ++i) {
        Segment &segment = this->segments[i];
        const auto bytes = readWholeFile(this->pathOf(segment.name));
        if (const auto *error = std::get_if<StorageError>(&bytes)) {
            return *error;
        }
        const bool isLast = i + 1 == this->segments.size();
        if (auto corruption
            = this->readSegment(segment, std::get<std::string>(bytes), isLast, content)) {
            return *corruption;
        }
    }
    if (content.tornTail) {
        if (auto error = this->truncateTornTail(*content.tornTail)) {
            return *error;
        }
    }
    this->hardState = content.hardState;
    return content;
}

std::optional<Corruption> LogStore::readSegment(Segment &segment, const std::string &bytes,
                                                bool isLast, LogContent &content)
{
    std::vector<LogRecord> batch;
    std::size_t batchStart = 0;
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const std::optional<LogRecord> record = LogRecord::read(bytes, offset);
        if (!record) {
            break;
        }
        const bool isFirstRecord = this->nextBatch == 1 && segment.size == 0 && batch.empty();
        if (record->batch != this->nextBatch && !isFirstRecord) {
            return Corruption { this->pathOf(segment.name), offset, "records are missing" };
        }
        this->nextBatch = record->batch;
        offset += record->encodedSize();
        batch.push_back(*record);
        if (record->remaining == 0) {
            if (auto corruption = this->applyBatch(segment, batch, batchStart, content)) {
                return corruption;
            }
            batch.clear();
            batchStart = offset;
            segment.size = offset;
            ++this->nextBatch;
        }
    }
    if (batchStart == bytes.size()) {
        return std::nullopt;
    }
    // Everything before a later batch or a later segment was synced, so it cannot be a torn write.
    if (!isLast || LogRecord::isFollowedByLaterBatch(bytes, offset, this->nextBatch)) {
        return Corruption { this->pathOf(segment.name), offset, "record with a wrong checksum" };
    }
    content.tornTail = TornTail { this->pathOf(segment.name), batchStart };
    return std::nullopt;
}

std::optional<Corruption> LogStore::applyBatch(Segment &segment,
                                               const std::vector<LogRecord> &records,
                                               std::uint64_t offset, LogContent &content)
{
    for (const LogRecord &record : records) {
        if (record.kind == LogRecord::Kind::Reset) {
            content.entries.clear();
            this->resetTo = record.index;
        } else if (record.kind == LogRecord::Kind::HardState) {
            const std::optional<HardState> state = decodeHardState(record.payload);
            if (!state) {
                return Corruption { this->pathOf(segment.name), offset, "unreadable hard state" };
            }
            content.hardState = *state;
        } else if (auto corruption = this->applyEntry(segment, record, offset, content)) {
            return corruption;
        }
    }
    return std::nullopt;
}

std::optional<Corruption> LogStore::applyEntry(Segment &segment, const LogRecord &record,
                                               std::uint64_t offset, LogContent &content)
{
    std::optional<EntryPayload> payload = decodePayload(record.payload);
    if (!payload) {
        return Corruption { this->pathOf(segment.name), offset, "unreadable entry" };
    }
    std::vector<LogEntry> &entries = content.entries;
    while (!entries.empty() && entries.back().index >= record.index) {
        entries.pop_back();
    }
    const LogIndex expected
            = !entries.empty() ? entries.back().index + 1 : this->resetTo.value_or(record.index);
    if (record.index != expected) {
        return Corruption { this->pathOf(segment.name), offset, "entries are missing" };
    }
    entries.push_back({ record.index, record.term, std::move(*payload) });
    this->resetTo.reset();
    segment.lastIndex = std::max(segment.lastIndex, record.index);
    return std::nullopt;
}

std::optional<StorageError> LogStore::truncateTornTail(const TornTail &tail)
{
    auto opened = StorageFile::openForAppend(tail.file);
    if (auto *error = std::get_if<StorageError>(&opened)) {
        return *error;
    }
    return std::get<StorageFile>(opened).truncate(tail.offset);
}

std::optional<StorageError> LogStore::openSegment()
{
    const bool isNew
            = this->segments.empty() || this->segments.back().size >= this->options.segmentBytes;
    if (this->file && !isNew) {
        return std::nullopt;
    }
    if (isNew) {
        this->segments.push_back({ segmentName(this->nextBatch) });
    }
    auto opened = StorageFile::openForAppend(this->pathOf(this->segments.back().name));
    if (auto *error = std::get_if<StorageError>(&opened)) {
        return *error;
    }
    this->file = std::move(std::get<StorageFile>(opened));
    return isNew ? syncFolder(this->options.folder) : std::nullopt;
}

std::optional<StorageError> LogStore::writeBytes(const std::string &bytes)
{
    const std::uint64_t limit = this->options.maxBytes;
    if (limit != 0 && this->writtenBytes + bytes.size() > limit) {
        // As on a full disk, only some of the bytes are written.
        const std::string part = bytes.substr(0, limit - this->writtenBytes);
        this->writtenBytes = limit;
        if (auto error = this->file->write(part)) {
            return error;
        }
        return StorageError { this->file->path(), "write", ENOSPC };
    }
    this->writtenBytes += bytes.size();
    if (auto error = this->file->write(bytes)) {
        return error;
    }
    return this->file->sync();
}

std::optional<StorageError> LogStore::write(std::vector<LogRecord> records)
{
    std::string bytes;
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i].batch = this->nextBatch;
        records[i].remaining = static_cast<std::uint32_t>(records.size() - i - 1);
        records[i].appendTo(bytes);
    }
    if (auto error = this->writeBytes(bytes)) {
        return error;
    }
    ++this->nextBatch;
    this->segments.back().size += bytes.size();
    return std::nullopt;
}

std::optional<StorageError> LogStore::append(const std::optional<HardState> &state,
                                             const std::vector<LogEntry> &entries)
{
    if (this->firstError || (!state && entries.empty())) {
        return this->firstError;
    }
    if (auto error = this->openSegment()) {
        return this->fail(*error);
    }
    this->hardState = state.value_or(this->hardState);
    std::vector<LogRecord> records;
    if (state || this->segments.back().size == 0) {
        records.push_back(hardStateRecord(this->hardState));
    }
    for (const LogEntry &entry : entries) {
        LogRecord record;
        record.index = entry.index;
        record.term = entry.term;
        record.payload = encodePayload(entry.payload);
        records.push_back(std::move(record));
        Segment &segment = this->segments.back();
        segment.lastIndex = std::max(segment.lastIndex, entry.index);
    }
    if (auto error = this->write(std::move(records))) {
        return this->fail(*error);
    }
    return std::nullopt;
}

std::optional<StorageError> LogStore::removeOldestSegment()
{
    if (auto error = removeFile(this->pathOf(this->segments.front().name))) {
        return error;
    }
    this->segments.pop_front();
    // Without this sync a power failure could restore an older segment but not the next one.
    return syncFolder(this->options.folder);
}

std::optional<StorageError> LogStore::compactBefore(LogIndex index)
{
    while (!this->firstError && this->segments.size() > 1
           && this->segments.front().lastIndex < index) {
        if (auto error = this->removeOldestSegment()) {
            return this->fail(*error);
        }
    }
    return this->firstError;
}

std::optional<StorageError> LogStore::reset(LogIndex next)
{
    if (this->firstError) {
        return this->firstError;
    }
    this->file.reset();
    // A segment whose only write was torn is empty and already has the name of the new segment.
    if (this->segments.empty() || this->segments.back().size != 0) {
        this->segments.push_back({ segmentName(this->nextBatch) });
    }
    const std::size_t olderSegments = this->segments.size() - 1;
    if (auto error = this->openSegment()) {
        return this->fail(*error);
    }
    if (auto error = this->write({ hardStateRecord(this->hardState), resetRecord(next) })) {
        return this->fail(*error);
    }
    if (auto error = syncFolder(this->options.folder)) {
        return this->fail(*error);
    }
    for (std::size_t i = 0; i < olderSegments; ++i) {
        if (auto error = this->removeOldestSegment()) {
            return this->fail(*error);
        }
    }
    return std::nullopt;
}

} // namespace cassiaroad
