#pragma once

#include "process/eventlog.h"
#include "process/sitesettings.h"
#include "registry/joincall.h"
#include "registry/slotfinder.h"
#include "version/searchreport.h"

#include <functional>
#include <map>
#include <memory>

namespace cassiaroad {

/**
 * Search for the control group by a host without a slot: calls the hosts that SlotFinder names
 * until it has a slot, and logs what they answer. Loop thread only.
 */
class GroupSearch : private kj::TaskSet::ErrorHandler
{
public:
    struct Handlers
    {
        std::function<void(const GroupHint &)> hint; // receives each answer
        std::function<void(const StartMember &)> found; // is called once; the search has ended
    };

    /** The arguments must outlive the search. */
    GroupSearch(EventLoop &loop, const SiteSettings &settings, EventLog &log, Handlers handlers);
    ~GroupSearch();
    GroupSearch(const GroupSearch &) = delete;
    GroupSearch &operator=(const GroupSearch &) = delete;

    /** Begins a search; see SlotFinder. */
    void start(const std::vector<std::string> &seeds, bool canBootstrapGroup);
    /** Sets the seeds after a change of the settings. */
    void setSeeds(const std::vector<std::string> &seeds);
    /** Handles the call of a member; without effect if no search is in progress. */
    void onCall(const MemberCall &call);

private:
    void queryAll();
    void query(const std::string &ip);
    void onHint(const std::string &ip, const GroupHint &hint);
    void writeReport();
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop;
    const SiteSettings &settings;
    EventLog &log;
    Handlers handlers;
    std::shared_ptr<ByteCounters> bytes;
    std::unique_ptr<SlotFinder> finder; // null: no search is in progress
    SearchReport report;
    std::map<std::string, std::unique_ptr<RpcConnection>> queried; // by ip
    EventLoop::Timer timer;
    kj::TaskSet tasks;
};

} // namespace cassiaroad
