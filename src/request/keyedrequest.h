#pragma once

#include "process/clock.h"
#include "version/requestledger.h"

#include <optional>
#include <string>
#include <variant>

namespace cassiaroad {

/** Ask the ledger to begin the request. */
struct CallBegin
{
    bool operator==(const CallBegin &) const = default;
};

/** Call onWaited after this time. */
struct WaitBeforeBegin
{
    Milliseconds time;
    bool operator==(const WaitBeforeBegin &) const = default;
};

/** Send the request to its owner, then call onRunEnded. */
struct RunRequest
{
    bool operator==(const RunRequest &) const = default;
};

/** Commit the outcome; call onFinished or onFinishFailed. */
struct CallFinish
{
    std::uint64_t ticket = 0;
    LedgerOutcome outcome;
    bool operator==(const CallFinish &) const = default;
};

/** The outcome of the run is committed: pass it on. */
struct DeliverOutcome
{
    bool operator==(const DeliverOutcome &) const = default;
};

/** Answer with the stored answer. */
struct Replay
{
    StoredAnswer answer;
    bool operator==(const Replay &) const = default;
};

/** Answer without running: 409 or 422 if it is about an earlier request, 503 otherwise. */
struct RefuseKeyedRequest
{
    int status = 503;
    std::string reason;
    bool operator==(const RefuseKeyedRequest &) const = default;
};

/** The outcome is unknown, of an earlier run or of this one. */
struct ReportUnknownOutcome
{
    std::string reason;
    bool operator==(const ReportUnknownOutcome &) const = default;
};

/** Nothing is left to do. */
struct NothingToDo
{
    bool operator==(const NothingToDo &) const = default;
};

using KeyedAction = std::variant<CallBegin, WaitBeforeBegin, RunRequest, CallFinish, DeliverOutcome,
                                 Replay, RefuseKeyedRequest, ReportUnknownOutcome, NothingToDo>;

/**
 * One request with an Idempotency-Key against the ledger (design, section 6.2). The request runs
 * only between a committed begin and a finish; its outcome is passed on only after the finish.
 * Pure: events come in, actions go out. Not thread-safe.
 */
class KeyedRequest
{
public:
    KeyedAction start();
    KeyedAction onBegun(const LedgerBeginResult &result);
    /** The ledger did not answer; it may have begun the request. */
    KeyedAction onBeginFailed();
    KeyedAction onWaited();
    KeyedAction onRunEnded(LedgerOutcome outcome);
    /** The record is resolved, also if another resolved it first. */
    KeyedAction onFinished();
    KeyedAction onFinishFailed();

    /**
     * The caller's deadline has passed, or the caller has gone. A running request must be ended
     * first, by onRunEnded. Records that may be in flight are still resolved afterwards.
     */
    KeyedAction onDeadline();

    bool isRunning() const { return this->state == State::Running; }

    /** Whether the request may have run and its record could not be resolved. */
    bool isUnresolved() const { return this->outcome.has_value() && !this->resolved; }

private:
    enum class State { Beginning, Running, Finishing };

    KeyedAction onSettled(const LedgerBeginResult &result);
    KeyedAction waitForCleanUp();
    KeyedAction conclude(KeyedAction action);

    State state = State::Beginning;
    bool concluded = false; // the caller has its answer
    bool seenInProgress = false;
    bool beginLost = false; // a begin without a reply may have been executed
    bool resolved = false;
    std::uint64_t ticket = 0;
    std::optional<LedgerOutcome> outcome;
    std::uint32_t cleanUpAttempts = 0;
};

} // namespace cassiaroad
