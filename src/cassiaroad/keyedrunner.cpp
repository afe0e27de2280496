#include "cassiaroad/keyedrunner.h"

#include "cassiaroad/ledgercodec.h"
#include "process/log.h"

namespace cassiaroad {

namespace {

constexpr Milliseconds ledgerTimeout { 1000 };
constexpr int conflict = 409;

} // namespace

struct KeyedRunner::Run
{
    RequestPtr request;
    LedgerKey key;
    std::uint64_t digest = 0;
    KeyedRequest machine;
    std::function<void(RequestEnd)> done;
    std::optional<RequestEnd> end; // of the run, until it may be passed on
    bool holdsKey = false;
    bool concludesEarly = false; // answered before the ledger was
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
    Log("entry").error(std::string("a ledger call failed: ") + exception.getDescription().cStr());
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
    this->perform(run, run->machine.start());
}

void KeyedRunner::perform(const RunPtr &run, const KeyedAction &action)
{
    if (std::holds_alternative<CallBegin>(action)) {
        this->begin(run);
    } else if (const auto *wait = std::get_if<WaitBeforeRetry>(&action)) {
        run->timer
                = this->loop.callAfter(wait->time, [this, raw = run.get(), id = run->request->id] {
                      const RunPtr kept = this->runs.at(id);
                      this->perform(kept, raw->machine.onWaited());
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
        // The earlier request with this key may still run, so 409 must not say "not run".
        const RequestOutcome outcome
                = refuse->status == conflict
                          ? OutcomeUnknown { conflict, refuse->reason }
                          : run->request->progress.refuse(refuse->status, refuse->reason);
        this->conclude(run, { outcome, {}, {} });
    } else {
        this->release(run);
    }
}

void KeyedRunner::begin(const RunPtr &run)
{
    if (!run->holdsKey && !this->active.insert(run->key).second) {
        this->perform(run, run->machine.onBegun(LedgerInProgress {}));
        return;
    }
    run->holdsKey = true;
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
                                        this->perform(run, run->machine.onBegun(
                                                                   decodeBegin(reply.getReply())));
                                    },
                                    [this, run](kj::Exception &&) {
                                        this->perform(run, run->machine.onBeginFailed());
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
                                        this->perform(run, run->machine.onFinished());
                                    },
                                    [this, run](kj::Exception &&) {
                                        this->perform(run, run->machine.onFinishFailed());
                                    }));
}

void KeyedRunner::send(const RunPtr &run)
{
    this->sendToOwner(run->request, [this, run](RequestEnd end) {
        const LedgerOutcome outcome = ledgerOutcome(end);
        run->end = std::move(end);
        this->perform(run, run->machine.onRunEnded(outcome));
    });
}

void KeyedRunner::stop(const RequestPtr &request, int status, const std::string &reason)
{
    const auto found = this->runs.find(request->id);
    if (found == this->runs.end() || !found->second->done) {
        return;
    }
    const RunPtr run = found->second;
    if (run->machine.isRunning()) {
        this->stopSending(request, status, reason);
    }
    // The caller is answered now; records that may be in flight are still resolved.
    run->concludesEarly = true;
    this->perform(run, run->machine.onDeadline());
}

void KeyedRunner::conclude(const RunPtr &run, RequestEnd end)
{
    if (const auto done = std::exchange(run->done, nullptr)) {
        done(std::move(end));
    }
    if (!run->concludesEarly) {
        this->release(run);
    }
}

// A record that could not be resolved stays with this host, so its key must not begin again here.
void KeyedRunner::release(const RunPtr &run)
{
    run->timer = {};
    if (run->holdsKey && !run->machine.isUnresolved()) {
        this->active.erase(run->key);
    }
    this->runs.erase(run->request->id);
}

} // namespace cassiaroad
