#pragma once

#include "version/ownershipmanager.h"

#include <map>
#include <string>
#include <vector>

namespace cassiaroad {

/**
 * Runs one member with entry hosts and upstreams that reply without delay, at virtual time, and
 * records what happens as lines of text.
 */
class Transcript
{
public:
    explicit Transcript(OwnershipConfig config);

    void addUpstream(const std::string &name, const std::string &zone);
    void addEntry(const std::string &name);
    void runFor(Milliseconds period);
    void addLine(const std::string &text);
    void plan(const std::string &who, const std::string &why, const Intent &intent);
    void confirm(const std::string &who, std::uint64_t number, PlanNumber plan);
    void pause(const std::string &upstream, Milliseconds period); // no announcements meanwhile
    void leave(const std::string &upstream); // it stops announcing
    void drain(const std::string &upstream); // it announces that it is draining
    void report(const std::string &upstream, std::uint32_t failures); // by the entry hosts

    const ControlState &state() const { return this->controlState; }
    const std::string &text() const { return this->lines; }

private:
    /** A simulated upstream or entry host. */
    struct Host
    {
        Upstream upstream; // of an upstream
        EntryHostId entry; // of an entry host
        GrantSet grants;
        Revision revision = 0;
        bool waits = false; // a watch call waits for its reply
        TimePoint next; // of its next call
    };

    void handleEvent(const OwnershipEvent &event);
    void onAction(const ProposeCommand &action);
    void onAction(const ReplyAnnounce &action);
    void onAction(const ReplyWatch &action);
    void onAction(const ReplyPlan &action);
    void onAction(const ReplyConfirm &action);
    void onAction(const TransferLeadershipFromZone &action);
    template <typename Other>
    void onAction(const Other &)
    {
        this->addLine("other action");
    }
    void announce(Host &host);
    void watch(Host &host);

    ControlState controlState;
    OwnershipManager manager;
    TimePoint now;
    CallId lastCall = 0;
    std::map<CallId, std::string> callers;
    std::map<std::string, Host> hosts;
    std::map<std::string, std::uint32_t> reports;
    std::string lines;
};

} // namespace cassiaroad
