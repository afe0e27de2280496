#pragma once

#include "process/clock.h"
#include "version/requestledger.h"

#include <optional>
#include <string>
#include <variant>

namespace cassiaroad {

/** Call the ledger to begin the request; call onBegun or onBeginFailed. */
struct CallBegin
{
    bool operator==(const CallBegin &) const = default;
};

/** Wait for this time, then call onWaited. */
struct WaitBeforeRetry
{
    Milliseconds time;
    bool operator==(const WaitBeforeRetry &) const = default;
};

/** Send the request to its owner, then call onRunEnded. */
struct RunRequest
{
    bool operator==(const RunRequest &) const = default;
};

/** Call the ledger to commit the outcome; call onFinished or onFinishFailed. */
struct CallFinish
{
    std::uint64_t ticket = 0; // of the begin
    LedgerOutcome outcome;
    bool operator==(const CallFinish &) const = default;
};

/** Pass the committed outcome of the run on to the caller. */
struct DeliverOutcome
{
    bool operator==(const DeliverOutcome &) const = default;
};

/** Respond with the stored response of an earlier run. */
struct Replay
{
    StoredAnswer answer;
    bool operator==(const Replay &) const = default;
};

/**
 * Refuse the request without running it: with 409 or 422 because of an earlier request with the
 * same key, otherwise with 503.
 */
struct RefuseKeyedRequest
{
    int status = 503;
    std::string reason;
    bool operator==(const RefuseKeyedRequest &) const = default;
};

/** Respond that the outcome of an earlier run or of this one is unknown. */
struct ReportUnknownOutcome
{
    std::string reason;
    bool operator==(const ReportUnknownOutcome &) const = default;
};

/** Do nothing. */
struct NothingToDo
{
    bool operator==(const NothingToDo &) const = default;
};

using KeyedAction = std::variant<CallBegin, WaitBeforeRetry, RunRequest, CallFinish, DeliverOutcome,
                                 Replay, RefuseKeyedRequest, ReportUnknownOutcome, NothingToDo>;

/**
 * State machine of one request with an Idempotency-Key and its record in the ledger (design,
 * section 6.2). The request runs only between a committed begin and a finish; its outcome is passed
 * on only after the finish. Pure: each event returns the next action. Not thread-safe.
 */
class KeyedRequest
{
public:
    KeyedAction start();
    KeyedAction onBegun(const LedgerBeginResult &result);
    /** The ledger did not reply; it may have begun the request. */
    KeyedAction onBeginFailed();
    KeyedAction onWaited();
    KeyedAction onRunEnded(LedgerOutcome outcome);
    /** The record is resolved, by this call or by another one before. */
    KeyedAction onFinished();
    KeyedAction onFinishFailed();

    /**
     * The caller's deadline has passed, or the caller has disconnected. A running request must be
     * ended first, by onRunEnded. Records that may be in flight are still resolved afterwards.
     */
    KeyedAction onDeadline();

    bool isRunning() const { return this->state == State::Running; }

    /** Whether the request may have run and its record could not be resolved. */
    bool isUnresolved() const { return this->outcome.has_value() && !this->resolved; }

private:
    enum class State { Beginning, Running, Finishing };

    KeyedAction onNotStarted(const LedgerBeginResult &result);
    KeyedAction waitBeforeRetry();
    KeyedAction respond(KeyedAction action);

    State state = State::Beginning;
    bool responded = false; // the action with the response to the caller was returned
    bool seenInProgress = false; // the ledger reported an earlier request in progress
    bool beginUnconfirmed = false; // a begin without a reply may have been executed
    bool resolved = false; // the outcome is committed
    std::uint64_t ticket = 0; // from the ledger, once it has begun the request
    std::optional<LedgerOutcome> outcome; // once the run has ended
    std::uint32_t cleanUpAttempts = 0; // after the response
};

} // namespace cassiaroad
