#pragma once

#include "fakefolder.h"

#include <map>
#include <set>

namespace cassiaroad::test {

/** Throws std::logic_error if an invariant is broken. */
void require(bool condition, const std::string &invariant);

/** Folders by slot; null if there is none. */
using GroupFolders = std::vector<const FakeFolder *>;

/** What a group has done so far. Each method throws when that breaks an invariant. */
class GroupHistory
{
public:
    /** A member has synced an entry. */
    void stored(const MemberId &member, const LogEntry &entry)
    {
        this->storedBy[{ entry.index, entry.term }].insert(member);
    }
    /** A member leads; @p folder is its own. */
    void leads(const Replica &replica, const FakeFolder &folder);
    /** A member gave out a committed entry; @p before is its configuration before that. */
    void committed(const Replica &replica, const LogEntry &entry, const Configuration &before,
                   const GroupFolders &folders);
    /** A member's state machine has a value after an entry. */
    void applied(LogIndex index, std::uint64_t machine);

    /** Latest committed configuration. */
    Configuration latestConfiguration() const;
    /** Whether the command is committed. */
    bool has(const std::string &command) const { return this->commands.contains(command); }

private:
    bool isStoredByMajority(const LogEntry &entry, const Configuration &configuration,
                            const GroupFolders &folders) const;

    std::map<Term, MemberId> leaders;
    std::map<LogIndex, LogEntry> entries; // committed
    std::map<LogIndex, Term> committedIn; // term of the leader that committed it
    std::map<LogIndex, std::uint64_t> machines; // after each entry
    std::map<std::pair<LogIndex, Term>, std::set<MemberId>> storedBy;
    std::set<std::string> commands;
};

} // namespace cassiaroad::test
