#include "cassiaroad/keyedrunner.h"

#include "cassiaroad/ledgercodec.h"
#include "process/log.h"

namespace cassiaroad {

namespace {

constexpr Milliseconds ledgerTimeout { 1000 };
constexpr int conflict = 409;

} // namespace

/** A request with an Idempotency-Key from its arrival until its record is completed. */
struct KeyedRunner::Run
{
    RequestPtr request;
    LedgerKey key;
    std::uint64_t digest = 0;
    KeyedRequest stateMachine;
    std::function<void(RequestEnd)> done;
    std::optional<RequestEnd> end; // result of the attempt, until its outcome is committed
    bool hasReservedKey = false; // the key is in reservedKeys because of this run
    bool continuesAfterResponse = false; // the caller has its response; calls to the ledger go on
    EventLoop::Timer timer;
};

KeyedRunner::KeyedRunner(EventLoop &loop, ControlClient &control, EntryHostId host, Send send,
                         Stop stop)
    : loop(loop)
    , control(control)
    , host(std::move(host))
    , sendToOwner(std::move(send))
    , stopSending(std::move(stop))
    , tasks(*this)
{ }

KeyedRunner::~KeyedRunner() = default;

void KeyedRunner::taskFailed(kj::Exception &&exception)
{
    Log("entry").error(std::string("unexpected error in a call to the request ledger: ")
                       + exception.getDescription().cStr());
}

void KeyedRunner::run(const RequestPtr &request, const std::string &idempotencyKey,
                      std::function<void(RequestEnd)> done)
{
    const LedgerKey key { request->target.service->name, request->target.key, idempotencyKey };
    const std::uint64_t digest
            = requestDigest(request->method, request->path, request->exchange->body());
    auto run = std::make_shared<Run>(Run { request,
                                           key,
                                           digest,
                                           KeyedRequest(),
                                           std::move(done),
                                           std::nullopt,
                                           false,
                                           false,
                                           {} });
    this->runs.emplace(request->id, run);
    this->perform(run, run->stateMachine.start());
}

void KeyedRunner::perform(const RunPtr &run, const KeyedAction &action)
{
    if (std::holds_alternative<CallBegin>(action)) {
        this->begin(run);
    } else if (const auto *wait = std::get_if<WaitBeforeRetry>(&action)) {
        run->timer
                = this->loop.callAfter(wait->time, [this, raw = run.get(), id = run->request->id] {
                      const RunPtr stored = this->runs.at(id);
                      this->perform(stored, raw->stateMachine.onWaited());
                  });
    } else if (std::holds_alternative<RunRequest>(action)) {
        this->send(run);
    } else if (const auto *finish = std::get_if<CallFinish>(&action)) {
        this->finish(run, *finish);
    } else if (std::holds_alternative<DeliverOutcome>(action)) {
        this->conclude(run, std::move(*run->end));
    } else if (const auto *replay = std::get_if<Replay>(&action)) {
        this->conclude(run, replayed(replay->answer));
    } else if (const auto *unknown = std::get_if<ReportUnknownOutcome>(&action)) {
        this->conclude(run, { OutcomeUnknown { 502, unknown->reason }, {}, {} });
    } else if (const auto *refuse = std::get_if<RefuseKeyedRequest>(&action)) {
        // The earlier request with this key may still be running, so a 409 must not say "not-run".
        const RequestOutcome outcome
                = refuse->status == conflict
                          ? OutcomeUnknown { conflict, refuse->reason }
                          : run->request->progress.refuse(refuse->status, refuse->reason);
        this->conclude(run, { outcome, {}, {} });
    } else {
        this->release(run);
    }
}

// Calls begin of the ledger, unless another request with the same key on this host is in progress.
void KeyedRunner::begin(const RunPtr &run)
{
    if (!run->hasReservedKey && !this->reservedKeys.insert(run->key).second) {
        this->perform(run, run->stateMachine.onBegun(LedgerInProgress {}));
        return;
    }
    run->hasReservedKey = true;
    this->tasks.add(this->control
                            .begin(
                                    [this, run](rpc::BeginRequest::Builder request) {
                                        request.setService(run->key.service);
                                        request.setKey(run->key.key);
                                        request.setIdempotencyKey(run->key.idempotencyKey);
                                        request.setDigest(run->digest);
                                        request.setEntryHost(this->host.name);
                                        request.setEntryInstance(this->host.instance);
                                        request.setRun(run->request->id);
                                    },
                                    ledgerTimeout)
                            .then(
                                    [this, run](ControlClient::BeginReply &&reply) {
                                        this->perform(run, run->stateMachine.onBegun(
                                                                   decodeBegin(reply.getReply())));
                                    },
                                    [this, run](kj::Exception &&) {
                                        this->perform(run, run->stateMachine.onBeginFailed());
                                    }));
}

void KeyedRunner::finish(const RunPtr &run, const CallFinish &call)
{
    const auto fill = [run, call](rpc::FinishRequest::Builder request) {
        request.setService(run->key.service);
        request.setKey(run->key.key);
        request.setIdempotencyKey(run->key.idempotencyKey);
        request.setTicket(call.ticket);
        encodeOutcome(call.outcome, request);
    };
    this->tasks.add(this->control.finish(fill, ledgerTimeout)
                            .then(
                                    [this, run](ControlClient::FinishReply &&) {
                                        this->perform(run, run->stateMachine.onFinished());
                                    },
                                    [this, run](kj::Exception &&) {
                                        this->perform(run, run->stateMachine.onFinishFailed());
                                    }));
}

void KeyedRunner::send(const RunPtr &run)
{
    this->sendToOwner(run->request, [this, run](RequestEnd end) {
        const LedgerOutcome outcome = ledgerOutcome(end);
        run->end = std::move(end);
        this->perform(run, run->stateMachine.onRunEnded(outcome));
    });
}

void KeyedRunner::stop(const RequestPtr &request, int status, const std::string &reason)
{
    const auto found = this->runs.find(request->id);
    if (found == this->runs.end() || !found->second->done) {
        return;
    }
    const RunPtr run = found->second;
    if (run->stateMachine.isRunning()) {
        this->stopSending(request, status, reason);
    }
    // The caller gets its response now; records that may be in flight are still resolved.
    run->continuesAfterResponse = true;
    this->perform(run, run->stateMachine.onDeadline());
}

void KeyedRunner::conclude(const RunPtr &run, RequestEnd end)
{
    if (const auto done = std::exchange(run->done, nullptr)) {
        done(std::move(end));
    }
    if (!run->continuesAfterResponse) {
        this->release(run);
    }
}

// The ledger keeps an unresolved record as one of this entry host, so a request with the same key
// must not begin here again: its key stays reserved.
void KeyedRunner::release(const RunPtr &run)
{
    run->timer = {};
    if (run->hasReservedKey && !run->stateMachine.isUnresolved()) {
        this->reservedKeys.erase(run->key);
    }
    this->runs.erase(run->request->id);
}

} // namespace cassiaroad
