#include "request/keyedrequest.h"

namespace cassiaroad {

namespace {

// Delay before a call of the ledger is repeated.
constexpr Milliseconds ledgerRetryDelay { 50 };
// After the response to the caller, a begin or finish call without a reply is repeated up to this
// many times, so that the record does not stay in flight.
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

// Marks the caller as having its response, which is @p action.
KeyedAction KeyedRequest::respond(KeyedAction action)
{
    this->responded = true;
    return action;
}

KeyedAction KeyedRequest::onBegun(const LedgerBeginResult &result)
{
    if (const auto *started = std::get_if<LedgerStarted>(&result)) {
        this->ticket = started->ticket;
        if (this->responded) {
            // The request was refused in the meantime and not sent to an upstream.
            return this->onRunEnded(LedgerNotRun {});
        }
        this->state = State::Running;
        return RunRequest {};
    }
    if (this->responded) {
        return NothingToDo {};
    }
    return this->onNotStarted(result);
}

// The ledger did not begin the request, because of an earlier one or because it is full.
KeyedAction KeyedRequest::onNotStarted(const LedgerBeginResult &result)
{
    if (const auto *answer = std::get_if<StoredAnswer>(&result)) {
        return this->respond(Replay { *answer });
    }
    if (std::holds_alternative<LedgerUnknown>(result)) {
        return this->respond(
                ReportUnknownOutcome { "the outcome of the earlier request is unknown" });
    }
    if (std::holds_alternative<LedgerMismatch>(result)) {
        return this->respond(RefuseKeyedRequest {
                unprocessable, "the Idempotency-Key was used for another request" });
    }
    if (std::holds_alternative<LedgerFull>(result)) {
        return this->respond(RefuseKeyedRequest { unavailable, "the request ledger is full" });
    }
    this->seenInProgress = true;
    return WaitBeforeRetry { ledgerRetryDelay };
}

KeyedAction KeyedRequest::onBeginFailed()
{
    this->beginUnconfirmed = true;
    return this->waitBeforeRetry();
}

// Waits before a call of the ledger is repeated. After the response the repetitions are limited.
KeyedAction KeyedRequest::waitBeforeRetry()
{
    if (this->responded && ++this->cleanUpAttempts > maxCleanUpAttempts) {
        return NothingToDo {};
    }
    return WaitBeforeRetry { ledgerRetryDelay };
}

KeyedAction KeyedRequest::onWaited()
{
    if (this->outcome.has_value()) {
        return CallFinish { this->ticket, *this->outcome };
    }
    if (this->responded && !this->beginUnconfirmed) {
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
    if (this->responded) {
        return NothingToDo {};
    }
    return this->respond(DeliverOutcome {});
}

KeyedAction KeyedRequest::onFinishFailed()
{
    return this->waitBeforeRetry();
}

KeyedAction KeyedRequest::onDeadline()
{
    if (this->responded || this->state == State::Running) {
        return NothingToDo {};
    }
    if (!this->outcome.has_value()) {
        return this->respond(
                this->seenInProgress
                        ? RefuseKeyedRequest { conflict, "a request with this Idempotency-Key is "
                                                         "in progress" }
                        : RefuseKeyedRequest { unavailable,
                                               "the request ledger did not answer in time" });
    }
    return this->respond(
            std::holds_alternative<LedgerNotRun>(*this->outcome)
                    ? KeyedAction(DeliverOutcome {})
                    : ReportUnknownOutcome { "the outcome could not be committed in time" });
}

} // namespace cassiaroad
