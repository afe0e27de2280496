#include "process/replicaoutbox.h"

#include <utility>

namespace cassiaroad {

void ReplicaOutbox::send(const MemberId &to, MessageBody body)
{
    this->actions.messages.push_back({ this->self, to, std::move(body) });
}

void ReplicaOutbox::sendWhenSynced(const MemberId &to, MessageBody body)
{
    // The number is settled in take(), because the step may still ask for more to be stored.
    this->waiting.push_back({ 0, { this->self, to, std::move(body) } });
}

void ReplicaOutbox::persistFrom(LogIndex index)
{
    this->entriesFrom = this->entriesFrom ? std::min(*this->entriesFrom, index) : index;
}

void ReplicaOutbox::logSynced(std::uint64_t number)
{
    this->synced = std::max(this->synced, std::min(number, this->issued));
    while (!this->unsynced.empty() && this->unsynced.front().sequence <= this->synced) {
        this->storedIndex = this->unsynced.front().lastIndex;
        this->unsynced.pop_front();
    }
}

void ReplicaOutbox::release()
{
    while (!this->waiting.empty() && this->waiting.front().sequence <= this->synced) {
        this->actions.messages.push_back(std::move(this->waiting.front().message));
        this->waiting.pop_front();
    }
}

ReplicaActions ReplicaOutbox::take(const ReplicaLog &log)
{
    if (this->dirty()) {
        Persist persist { ++this->issued, this->hardState, {}, this->compact };
        if (this->entriesFrom) {
            persist.entries = log.range(*this->entriesFrom, log.lastIndex());
        }
        this->actions.persist = std::move(persist);
        this->unsynced.push_back({ this->issued, log.lastIndex() });
        this->hardState.reset();
        this->entriesFrom.reset();
        this->compact = 0;
    }
    for (auto entry = this->waiting.rbegin(); entry != this->waiting.rend(); ++entry) {
        if (entry->sequence != 0) {
            break;
        }
        entry->sequence = this->issued;
    }
    this->release();
    return std::exchange(this->actions, {});
}

} // namespace cassiaroad
