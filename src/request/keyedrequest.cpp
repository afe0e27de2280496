#include "request/keyedrequest.h"

namespace cassiaroad {

namespace {

constexpr Milliseconds beginPause { 50 };
// After the caller was answered, a begin or finish that was lost is repeated for a while, so that
// the record does not stay in flight.
constexpr std::uint32_t maxCleanUpAttempts = 100;
constexpr int conflict = 409;
constexpr int unprocessable = 422;
constexpr int unavailable = 503;

} // namespace

KeyedAction KeyedRequest::start()
{
    this->state = State::Beginning;
    return CallBegin {};
}

KeyedAction KeyedRequest::conclude(KeyedAction action)
{
    this->concluded = true;
    return action;
}

KeyedAction KeyedRequest::onBegun(const LedgerBeginResult &result)
{
    if (const auto *started = std::get_if<LedgerStarted>(&result)) {
        this->ticket = started->ticket;
        if (this->concluded) {
            // The caller was refused meanwhile; nothing was sent.
            return this->onRunEnded(LedgerNotRun {});
        }
        this->state = State::Running;
        return RunRequest {};
    }
    if (this->concluded) {
        return NothingToDo {};
    }
    return this->onSettled(result);
}

KeyedAction KeyedRequest::onSettled(const LedgerBeginResult &result)
{
    if (const auto *answer = std::get_if<StoredAnswer>(&result)) {
        return this->conclude(Replay { *answer });
    }
    if (std::holds_alternative<LedgerUnknown>(result)) {
        return this->conclude(
                ReportUnknownOutcome { "the outcome of the earlier request is unknown" });
    }
    if (std::holds_alternative<LedgerMismatch>(result)) {
        return this->conclude(RefuseKeyedRequest {
                unprocessable, "the Idempotency-Key was used for another request" });
    }
    if (std::holds_alternative<LedgerFull>(result)) {
        return this->conclude(RefuseKeyedRequest { unavailable, "the request ledger is full" });
    }
    this->seenInProgress = true;
    return WaitBeforeBegin { beginPause };
}

KeyedAction KeyedRequest::onBeginFailed()
{
    this->beginLost = true;
    return this->waitForCleanUp();
}

KeyedAction KeyedRequest::waitForCleanUp()
{
    if (this->concluded && ++this->cleanUpAttempts > maxCleanUpAttempts) {
        return NothingToDo {};
    }
    return WaitBeforeBegin { beginPause };
}

KeyedAction KeyedRequest::onWaited()
{
    if (this->outcome.has_value()) {
        return CallFinish { this->ticket, *this->outcome };
    }
    if (this->concluded && !this->beginLost) {
        return NothingToDo {};
    }
    return this->start();
}

KeyedAction KeyedRequest::onRunEnded(LedgerOutcome ended)
{
    this->outcome = std::move(ended);
    this->state = State::Finishing;
    return CallFinish { this->ticket, *this->outcome };
}

KeyedAction KeyedRequest::onFinished()
{
    this->resolved = true;
    if (this->concluded) {
        return NothingToDo {};
    }
    return this->conclude(DeliverOutcome {});
}

KeyedAction KeyedRequest::onFinishFailed()
{
    return this->waitForCleanUp();
}

KeyedAction KeyedRequest::onDeadline()
{
    if (this->concluded || this->state == State::Running) {
        return NothingToDo {};
    }
    if (!this->outcome.has_value()) {
        return this->conclude(
                this->seenInProgress
                        ? RefuseKeyedRequest { conflict, "a request with this Idempotency-Key is "
                                                         "in progress" }
                        : RefuseKeyedRequest { unavailable,
                                               "the request ledger did not answer in time" });
    }
    return this->conclude(
            std::holds_alternative<LedgerNotRun>(*this->outcome)
                    ? KeyedAction(DeliverOutcome {})
                    : ReportUnknownOutcome { "the outcome could not be committed in time" });
}

} // namespace cassiaroad
