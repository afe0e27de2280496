#pragma once

#include "cassiaroad/entryrequest.h"
#include "connection/controlclient.h"
#include "request/keyedrequest.h"

#include <map>
#include <set>

namespace cassiaroad {

/**
 * Runs requests with an Idempotency-Key: asks the ledger before they are sent and commits their
 * outcome before it is passed on. Of several with the same key on this entry host only one talks to
 * the ledger at a time. Loop thread only.
 */
class KeyedRunner : private kj::TaskSet::ErrorHandler
{
public:
    /** Sends a request to its owner. */
    using Send = std::function<void(const RequestPtr &, std::function<void(RequestEnd)>)>;
    /** Ends a request that is being sent. */
    using Stop = std::function<void(const RequestPtr &, int, const std::string &)>;

    /** @p host is this run of the entry host. All references must outlive the runner. */
    KeyedRunner(EventLoop &loop, ControlClient &control, EntryHostId host, Send send, Stop stop);
    ~KeyedRunner();
    KeyedRunner(const KeyedRunner &) = delete;
    KeyedRunner &operator=(const KeyedRunner &) = delete;

    /** Runs a request; @p done is called once. */
    void run(const RequestPtr &request, const std::string &idempotencyKey,
             std::function<void(RequestEnd)> done);

    /** The deadline has passed or the caller has gone. Does nothing if the request has ended. */
    void stop(const RequestPtr &request, int status, const std::string &reason);

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
    std::set<LedgerKey> active; // keys whose run talks to the ledger
    kj::TaskSet tasks;
};

} // namespace cassiaroad
