#pragma once

#include "process/clock.h"
#include "version/sitewatch.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cassiaroad {

/**
 * Decides when a gateway asks which control hosts whether they lead. The search begins when the
 * leader is lost or its update is late, and asks all known hosts at the same time on connections
 * that are opened for it, because open ones may be silent. A host that has answered is asked again
 * on the same connection, one that has not on a new one. Pure; not thread-safe.
 */
class LeaderSearch
{
public:
    using ConnectionNumber = std::uint64_t;

    /** A question to the host at an IP address, on a new connection or on an earlier one. */
    struct Question
    {
        std::string ip;
        ConnectionNumber connection = 0;
        bool isNew = false;

        bool operator==(const Question &) const = default;
    };

    /** What to do now. The connections are closed without an answer. */
    struct Step
    {
        std::vector<Question> questions;
        std::vector<ConnectionNumber> closed;

        bool operator==(const Step &) const = default;
    };

    /** Sets the addresses of the settings. They may be out of date. */
    void setSeeds(const std::vector<HostAddress> &seeds);
    /**
     * Sets the members and the leader that a host has named. The host may have left the group or
     * belong to another one: a list that is not newer than the known one changes nothing.
     */
    void setMembers(const GroupHint &hint);
    /** Sets the members that the leader has confirmed, whatever their revision. */
    void setConfirmedMembers(const MemberList &list);
    /** Revision of the known members; 0: none. */
    std::uint64_t membersRevision() const { return this->members.revision; }

    /** A watch call was sent: the search begins at @p dueAt unless the update arrives before. */
    void expectUpdate(TimePoint dueAt);
    /** A part of the update has arrived: it is due at @p dueAt, unless the search has begun. */
    void postpone(TimePoint dueAt);
    /** The leader is lost: the search begins now, if it has not begun. */
    void start(TimePoint now);
    /** The leader is known: the connections of the search end. */
    void stop();

    /** The connection is open and the question is being sent. */
    void recordOpened(ConnectionNumber connection, TimePoint now);
    /** The host has answered that it does not lead. */
    void recordAnswer(ConnectionNumber connection);
    /** The connection has ended or could not be opened. */
    void recordFailure(ConnectionNumber connection);

    /** Whether questions were asked since the leader was lost or its update was late. */
    bool hasBegun() const { return this->begunAt.has_value(); }
    /** Time of the first question of the present search. Precondition: hasBegun(). */
    TimePoint beginning() const { return *this->begunAt; }
    /** Number of questions of the present search. */
    std::int64_t questionCount() const { return this->questions; }

    /** Addresses of the hosts that the search asks; of a bounded number besides the seeds. */
    std::vector<std::string> candidates() const;
    /** When step() is to be called, or nothing before the next event. */
    std::optional<TimePoint> nextStepAt() const;
    /** Returns what is due at @p now. */
    Step step(TimePoint now);

private:
    enum class State { Opening, Waiting, Answered };

    struct Connection
    {
        ConnectionNumber number = 0;
        State state = State::Opening;
    };

    struct Host
    {
        std::vector<Connection> connections; // of the present search, the oldest first
        TimePoint nextQuestionAt; // at the earliest
    };

    std::optional<TimePoint> dueAt(const std::string &ip) const;
    void ask(const std::string &ip, TimePoint now, Step &step);
    Connection *find(ConnectionNumber number);

    std::vector<std::string> seeds; // ips
    MemberList members;
    std::vector<std::string> formerMembers; // ips, the latest last
    std::vector<std::string> namedLeaders; // ips, the latest last
    std::optional<TimePoint> startAt; // of the search; nothing: no update is expected
    std::optional<TimePoint> begunAt;
    std::int64_t questions = 0;
    ConnectionNumber lastNumber = 0;
    std::map<std::string, Host> hosts; // by ip
};

} // namespace cassiaroad
