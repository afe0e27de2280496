#pragma once

#include "fakefolder.h"

#include <map>
#include <set>

namespace cassiaroad::test {

/** Throws std::logic_error if an invariant is broken. */
void require(bool condition, const std::string &invariant);

/** Folders by slot; null if there is none. */
using GroupFolders = std::vector<const FakeFolder *>;

/** Records what a group has done. Each recording method throws if an invariant is broken. */
class GroupHistory
{
public:
    /** Records that a member has synced an entry. */
    void stored(const MemberId &member, const LogEntry &entry)
    {
        this->storedBy[{ entry.index, entry.term }].insert(member);
    }
    /** Records that a member with the data folder @p folder is leader. */
    void leads(const Replica &replica, const FakeFolder &folder);
    /** Records a committed entry of a member, whose configuration was @p before until then. */
    void committed(const Replica &replica, const LogEntry &entry, const Configuration &before,
                   const GroupFolders &folders);
    /** Records the value of a member's state machine after the entry at @p index. */
    void applied(LogIndex index, std::uint64_t stateMachine);

    /** Latest committed configuration. */
    Configuration latestConfiguration() const;
    /** Whether the command is committed. */
    bool has(const std::string &command) const { return this->commands.contains(command); }

private:
    /** Whether a majority of the voters of @p configuration has synced @p entry. */
    bool isStoredByMajority(const LogEntry &entry, const Configuration &configuration,
                            const GroupFolders &folders) const;

    std::map<Term, MemberId> leaders;
    std::map<LogIndex, LogEntry> entries; // committed
    std::map<LogIndex, Term> committedIn; // term of the leader that committed it
    std::map<LogIndex, std::uint64_t> stateMachines; // value after each entry
    std::map<std::pair<LogIndex, Term>, std::set<MemberId>> storedBy;
    std::set<std::string> commands; // committed
};

} // namespace cassiaroad::test
