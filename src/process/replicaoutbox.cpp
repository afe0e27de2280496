#include "process/replicaoutbox.h"

#include <utility>

namespace cassiaroad {

void ReplicaOutbox::send(const MemberId &to, MessageBody body)
{
    this->actions.messages.push_back({ this->self, to, std::move(body) });
}

void ReplicaOutbox::sendWhenSynced(const MemberId &to, MessageBody body)
{
    // take() sets the sequence, because the rest of the step may add more data to persist.
    this->waiting.push_back({ 0, { this->self, to, std::move(body) } });
}

void ReplicaOutbox::persistFrom(LogIndex index)
{
    this->entriesFrom = this->entriesFrom ? std::min(*this->entriesFrom, index) : index;
}

void ReplicaOutbox::onLogSynced(std::uint64_t number)
{
    this->syncedSequence = std::max(this->syncedSequence, std::min(number, this->issuedSequence));
    while (!this->unsynced.empty() && this->unsynced.front().sequence <= this->syncedSequence) {
        this->lastSyncedIndex = this->unsynced.front().lastIndex;
        this->unsynced.pop_front();
    }
}

void ReplicaOutbox::releaseSynced()
{
    while (!this->waiting.empty() && this->waiting.front().sequence <= this->syncedSequence) {
        this->actions.messages.push_back(std::move(this->waiting.front().message));
        this->waiting.pop_front();
    }
}

ReplicaActions ReplicaOutbox::take(const ReplicaLog &log)
{
    if (this->isDirty()) {
        Persist persist { ++this->issuedSequence, this->hardState, {}, this->compactIndex };
        if (this->entriesFrom) {
            persist.entries = log.range(*this->entriesFrom, log.lastIndex());
        }
        this->actions.persist = std::move(persist);
        this->unsynced.push_back({ this->issuedSequence, log.lastIndex() });
        this->hardState.reset();
        this->entriesFrom.reset();
        this->compactIndex = 0;
    }
    for (auto entry = this->waiting.rbegin(); entry != this->waiting.rend(); ++entry) {
        if (entry->sequence != 0) {
            break;
        }
        entry->sequence = this->issuedSequence;
    }
    this->releaseSynced();
    return std::exchange(this->actions, {});
}

} // namespace cassiaroad
