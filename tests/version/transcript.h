#pragma once

#include "version/ownershipmanager.h"

#include <map>
#include <string>
#include <vector>

namespace cassiaroad {

/**
 * A session of one member with two entry hosts and upstreams that all answer at once, written down
 * line by line at virtual time.
 */
class Transcript
{
public:
    explicit Transcript(OwnershipConfig config);

    void addUpstream(const std::string &name, const std::string &zone);
    void addEntry(const std::string &name);
    void runFor(Milliseconds span);
    void note(const std::string &text);
    void plan(const std::string &who, const std::string &why, const Intent &intent);
    void confirm(const std::string &who, std::uint64_t number, PlanNumber plan);
    void pause(const std::string &upstream, Milliseconds span); // it does not announce meanwhile
    void leave(const std::string &upstream); // it stops announcing
    void drain(const std::string &upstream); // it announces that it leaves
    void report(const std::string &upstream, std::uint32_t failures); // entry hosts see it so

    const ControlState &state() const { return this->controlState; }
    const std::string &text() const { return this->lines; }

private:
    struct Host
    {
        Upstream upstream; // of an upstream
        EntryHostId entry; // of an entry host
        GrantSet grants;
        Revision revision = 0;
        bool waits = false;
        TimePoint next;
    };

    void give(const OwnershipEvent &event);
    void act(const ProposeCommand &action);
    void act(const ReplyAnnounce &action);
    void act(const ReplyWatch &action);
    void act(const ReplyPlan &action);
    void act(const ReplyConfirm &action);
    void act(const TransferLeadershipFromZone &action);
    template <typename Other>
    void act(const Other &)
    {
        this->note("other action");
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
