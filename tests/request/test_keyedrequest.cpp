#include "request/keyedrequest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

const StoredAnswer stored { 201, "text/plain", "made", false };

bool isWait(const KeyedAction &action)
{
    return std::holds_alternative<WaitBeforeRetry>(action);
}

KeyedRequest running()
{
    KeyedRequest request;
    request.start();
    request.onBegun(LedgerStarted { 7 });
    return request;
}

} // namespace

TEST(KeyedRequest, runsOnlyAfterBeginAndDeliversOnlyAfterFinish)
{
    KeyedRequest request;
    EXPECT_EQ(request.start(), KeyedAction(CallBegin {}));
    EXPECT_EQ(request.onBegun(LedgerStarted { 7 }), KeyedAction(RunRequest {}));
    EXPECT_TRUE(request.isRunning());
    EXPECT_EQ(request.onRunEnded(stored), KeyedAction(CallFinish { 7, stored }));
    EXPECT_TRUE(request.isUnresolved());
    EXPECT_EQ(request.onFinished(), KeyedAction(DeliverOutcome {}));
    EXPECT_FALSE(request.isUnresolved());
}

TEST(KeyedRequest, handlesEveryStateOfAnEarlierRequest)
{
    const auto begun = [](const LedgerBeginResult &result) {
        KeyedRequest request;
        request.start();
        return request.onBegun(result);
    };
    EXPECT_EQ(begun(stored), KeyedAction(Replay { stored }));
    EXPECT_TRUE(std::holds_alternative<ReportUnknownOutcome>(begun(LedgerUnknown {})));
    EXPECT_EQ(std::get<RefuseKeyedRequest>(begun(LedgerMismatch {})).status, 422);
    EXPECT_EQ(std::get<RefuseKeyedRequest>(begun(LedgerFull {})).status, 503);
    EXPECT_TRUE(isWait(begun(LedgerInProgress {})));
}

TEST(KeyedRequest, waitsForARequestInFlightUntilTheDeadline)
{
    KeyedRequest request;
    request.start();
    EXPECT_TRUE(isWait(request.onBegun(LedgerInProgress {})));
    EXPECT_EQ(request.onWaited(), KeyedAction(CallBegin {}));
    EXPECT_TRUE(isWait(request.onBegun(LedgerInProgress {})));
    EXPECT_EQ(std::get<RefuseKeyedRequest>(request.onDeadline()).status, 409);
    EXPECT_EQ(request.onWaited(), KeyedAction(NothingToDo {}));
}

// Guards against a record that stays in flight forever because a reply was lost.
TEST(KeyedRequest, resolvesABeginWhoseReplyWasLost)
{
    KeyedRequest request;
    request.start();
    EXPECT_TRUE(isWait(request.onBeginFailed()));
    EXPECT_EQ(std::get<RefuseKeyedRequest>(request.onDeadline()).status, 503);
    EXPECT_EQ(request.onWaited(), KeyedAction(CallBegin {}));
    EXPECT_EQ(request.onBegun(LedgerStarted { 7 }), KeyedAction(CallFinish { 7, LedgerNotRun {} }));
    EXPECT_EQ(request.onFinished(), KeyedAction(NothingToDo {}));
    EXPECT_FALSE(request.isUnresolved());
}

TEST(KeyedRequest, reportsAnUnknownOutcomeWhenItCannotBeCommittedInTime)
{
    KeyedRequest request = running();
    EXPECT_EQ(request.onDeadline(), KeyedAction(NothingToDo {})) << "end the run first";
    request.onRunEnded(stored);
    EXPECT_TRUE(isWait(request.onFinishFailed()));
    EXPECT_TRUE(std::holds_alternative<ReportUnknownOutcome>(request.onDeadline()));
    EXPECT_EQ(request.onWaited(), KeyedAction(CallFinish { 7, stored }));
    EXPECT_EQ(request.onFinished(), KeyedAction(NothingToDo {}));
}

// Guards against a second run, a second response, or a response that is not committed (P5), over
// any sequence of replies and lost replies. The test carries out each action that the state machine
// returns.
RC_GTEST_PROP(KeyedRequest, P5_runsAndAnswersAtMostOnce, ())
{
    KeyedRequest request;
    KeyedAction action = request.start();
    int runs = 0;
    int answers = 0;
    bool finished = false;
    for (const int event : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6))) {
        if (event == 5) { // the deadline passes
            if (request.isRunning()) {
                request.onRunEnded(LedgerUnknown {});
                action = CallFinish { 7, LedgerUnknown {} };
            }
            const KeyedAction answer = request.onDeadline();
            answers += std::holds_alternative<NothingToDo>(answer) ? 0 : 1;
            continue;
        }
        if (std::holds_alternative<CallBegin>(action)) {
            action = event == 0  ? request.onBeginFailed()
                     : event < 3 ? request.onBegun(LedgerInProgress {})
                                 : request.onBegun(LedgerStarted { 7 });
        } else if (isWait(action)) {
            action = request.onWaited();
        } else if (std::holds_alternative<RunRequest>(action)) {
            ++runs;
            action = event < 2 ? request.onRunEnded(LedgerUnknown {}) : request.onRunEnded(stored);
        } else if (std::holds_alternative<CallFinish>(action)) {
            finished = event > 1;
            action = finished ? request.onFinished() : request.onFinishFailed();
        }
        if (std::holds_alternative<DeliverOutcome>(action)) {
            RC_ASSERT(finished);
            ++answers;
            action = NothingToDo {};
        }
        RC_ASSERT(runs <= 1);
        RC_ASSERT(answers <= 1);
    }
}
