#include "request/sendprogress.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

// Guards against reporting "not run" for a request that an upstream may have run (P4), over any
// sequence of attempts.
RC_GTEST_PROP(SendProgress, P4_refusesOnlyWhatCannotHaveRun, ())
{
    SendProgress progress;
    bool mayHaveRun = false;
    for (const int end : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3))) {
        progress.markWritten();
        RC_ASSERT(std::holds_alternative<OutcomeUnknown>(progress.refuse(503, "now")));
        if (end == 0) {
            progress.markRefusedByUpstream();
        } else if (end == 1) {
            progress.markResponseLost();
            mayHaveRun = true;
        } else {
            progress.markRefusedByUpstream();
            progress.markResponseLost(); // has no effect: the attempt cannot have run
        }
    }
    const RequestOutcome outcome = progress.refuse(504, "end");
    RC_ASSERT(std::holds_alternative<RefusedNotRun>(outcome) == !mayHaveRun);
    if (mayHaveRun) {
        RC_ASSERT(std::get<OutcomeUnknown>(outcome).status == 504);
    } else {
        RC_ASSERT(std::get<RefusedNotRun>(outcome).status() == 503);
    }
}

// Only SendProgress can create a refusal.
static_assert(!std::is_constructible_v<RefusedNotRun, int, std::string>);
static_assert(!std::is_default_constructible_v<RefusedNotRun>);
