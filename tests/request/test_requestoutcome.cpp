#include "request/sendprogress.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against a refusal that a caller could take for a response of the upstream (P4).
TEST(RequestOutcome, namesEachOutcomeDifferently)
{
    EXPECT_STREQ(outcomeHeaderValue(Answered { 200 }), "answered");
    EXPECT_STREQ(outcomeHeaderValue(SendProgress().refuse(503, "queue full")), "not-run");
    EXPECT_STREQ(outcomeHeaderValue(OutcomeUnknown { 502, "connection lost" }), "unknown");
}
