#pragma once

#include "cassiaroad/entryrequest.h"
#include "connection/controlclient.h"
#include "request/keyedrequest.h"

#include <map>
#include <set>

namespace cassiaroad {

/**
 * Runs requests with an Idempotency-Key: begins them in the ledger of the control group before they
 * are sent, and commits their outcome before the caller gets it. Of several requests with the same
 * key on this entry host only one calls the ledger at a time. Loop thread only.
 */
class KeyedRunner : private kj::TaskSet::ErrorHandler
{
public:
    /** Sends a request to its owner. */
    using Send = std::function<void(const RequestPtr &, std::function<void(RequestEnd)>)>;
    /** Ends a request that is being sent. */
    using Stop = std::function<void(const RequestPtr &, int, const std::string &)>;

    /** @p host identifies this run of the entry host. All references must outlive the runner. */
    KeyedRunner(EventLoop &loop, ControlClient &control, EntryHostId host, Send send, Stop stop);
    ~KeyedRunner();
    KeyedRunner(const KeyedRunner &) = delete;
    KeyedRunner &operator=(const KeyedRunner &) = delete;

    /** Runs a request; @p done is called once. */
    void run(const RequestPtr &request, const std::string &idempotencyKey,
             std::function<void(RequestEnd)> done);

    /**
     * Ends a request whose deadline has passed or whose caller has disconnected, as refused or
     * unknown. Calls that complete its record in the ledger go on. Does nothing if it has ended.
     */
    void stop(const RequestPtr &request, int status, const std::string &reason);

    /** Number of requests that are not answered, or whose record is not completed. */
    std::size_t openCount() const { return this->runs.size(); }

private:
    struct Run;
    using RunPtr = std::shared_ptr<Run>;

    void taskFailed(kj::Exception &&exception) override;
    void perform(const RunPtr &run, const KeyedAction &action);
    void begin(const RunPtr &run);
    void finish(const RunPtr &run, const CallFinish &call);
    void send(const RunPtr &run);
    void conclude(const RunPtr &run, RequestEnd end);
    void release(const RunPtr &run);

    EventLoop &loop;
    ControlClient &control;
    EntryHostId host;
    Send sendToOwner;
    Stop stopSending;
    std::map<RequestId, RunPtr> runs;
    // Keys of requests that call the ledger, and of records that could not be resolved.
    std::set<LedgerKey> reservedKeys;
    kj::TaskSet tasks;
};

} // namespace cassiaroad
