#include "grouphistory.h"

#include <stdexcept>

namespace cassiaroad::test {

void require(bool condition, const std::string &invariant)
{
    if (!condition) {
        throw std::logic_error(invariant);
    }
}

void GroupHistory::leads(const Replica &replica, const FakeFolder &folder)
{
    const auto [known, first] = this->leaders.emplace(replica.term(), replica.id());
    require(known->second == replica.id(), "at most one leader per term");
    if (!first) {
        return;
    }
    for (const auto &[index, entry] : this->entries) {
        require(this->committedIn.at(index) >= replica.term() || folder.stores(entry),
                "a new leader has every committed entry");
    }
}

bool GroupHistory::isStoredByMajority(const LogEntry &entry, const Configuration &configuration,
                                      const GroupFolders &folders) const
{
    const auto known = this->storedBy.find({ entry.index, entry.term });
    const auto count = std::count_if(
            configuration.voters.begin(), configuration.voters.end(), [&](const MemberId &voter) {
                const FakeFolder *folder = folders[voter.number - 1];
                return (known != this->storedBy.end() && known->second.contains(voter))
                       || (folder != nullptr && folder->id == voter && folder->stores(entry));
            });
    return static_cast<std::size_t>(count) >= configuration.majority();
}

void GroupHistory::committed(const Replica &replica, const LogEntry &entry,
                             const Configuration &before, const GroupFolders &folders)
{
    const auto [known, first] = this->entries.emplace(entry.index, entry);
    require(known->second == entry, "committed entries do not change");
    this->committedIn.emplace(entry.index, replica.term());
    if (const auto *command = std::get_if<CommandBytes>(&entry.payload)) {
        this->commands.insert(command->bytes);
    }
    // Entries that are not synced, or that only a learner has, must not count.
    require(!first || replica.role() != ReplicaRole::Leader
                    || this->isStoredByMajority(entry, before, folders)
                    || this->isStoredByMajority(entry, replica.configuration(), folders),
            "committed entries are synced on a majority of voters");
}

void GroupHistory::applied(LogIndex index, std::uint64_t stateMachine)
{
    const auto [known, first] = this->stateMachines.emplace(index, stateMachine);
    require(known->second == stateMachine, "state machines agree");
}

Configuration GroupHistory::latestConfiguration() const
{
    Configuration latest;
    for (const auto &[index, entry] : this->entries) {
        if (const auto *configuration = std::get_if<Configuration>(&entry.payload)) {
            latest = *configuration;
        }
    }
    return latest;
}

} // namespace cassiaroad::test
