#include "fakefolder.h"

namespace cassiaroad::test {

void FakeFolder::apply(const Persist &persist)
{
    if (persist.hardState) {
        this->hardState = *persist.hardState;
    }
    if (!persist.entries.empty()) {
        const LogIndex first = persist.entries.front().index;
        std::erase_if(this->entries, [&](const LogEntry &entry) { return entry.index >= first; });
        this->entries.insert(this->entries.end(), persist.entries.begin(), persist.entries.end());
    }
    std::erase_if(this->entries,
                  [&](const LogEntry &entry) { return entry.index < persist.compactBefore; });
}

void FakeFolder::install(const Snapshot &received)
{
    this->snapshot = received;
    this->entries.clear();
}

void FakeFolder::dropStaleLog()
{
    // The snapshot may contain entries that were not synced to the log before a crash.
    if (this->snapshot && !this->entries.empty()
        && this->entries.back().index < this->snapshot->meta.index) {
        this->entries.clear();
    }
}

bool FakeFolder::isVoter() const
{
    Configuration latest = this->snapshot ? this->snapshot->meta.configuration : Configuration {};
    for (const LogEntry &entry : this->entries) {
        if (const auto *configuration = std::get_if<Configuration>(&entry.payload)) {
            latest = *configuration;
        }
    }
    return latest.contains(this->id);
}

bool FakeFolder::stores(const LogEntry &entry) const
{
    return (this->snapshot && this->snapshot->meta.index >= entry.index)
           || std::find(this->entries.begin(), this->entries.end(), entry) != this->entries.end();
}

} // namespace cassiaroad::test
