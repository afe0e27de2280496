#include "request/upstreamadmission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

const TimePoint now { 1000000 };
const TimePoint far { 1010000 };

AdmissionRequest admissionRequest(GatewayRequestId id, std::uint32_t priority,
                                  TimePoint responseDeadline = far)
{
    return { id, priority, responseDeadline };
}

} // namespace

// More requests than an upstream can serve. Guards against urgent requests behind less urgent ones.
TEST(UpstreamAdmission, startsTheMostUrgentFirstAndTheOldestAmongEquals)
{
    UpstreamAdmission admission;
    admission.setCapacity(1);
    EXPECT_EQ(admission.submit(admissionRequest(1, 2), now), AdmissionDecision::Start);
    EXPECT_EQ(admission.submit(admissionRequest(2, 2), now), AdmissionDecision::Wait);
    EXPECT_EQ(admission.submit(admissionRequest(3, 1), now), AdmissionDecision::Wait);
    EXPECT_EQ(admission.submit(admissionRequest(4, 1), now), AdmissionDecision::Wait);
    EXPECT_EQ(admission.next(), std::nullopt);
    admission.finish({ 100 });
    EXPECT_EQ(admission.next(), 3U);
    admission.finish({ 100 });
    EXPECT_EQ(admission.next(), 4U);
    admission.finish({ 100 });
    EXPECT_EQ(admission.next(), 2U);
}

// More requests than an upstream can serve. Guards against requests that wait although their
// response cannot arrive in time.
TEST(UpstreamAdmission, refusesRequestsThatCannotGetAResponseInTime)
{
    UpstreamAdmission admission;
    admission.setCapacity(1);
    EXPECT_EQ(admission.submit(admissionRequest(1, 1), now), AdmissionDecision::Start);
    EXPECT_EQ(admission.submit(admissionRequest(2, 1, now + Milliseconds { 150 }), now),
              AdmissionDecision::Refuse);
    EXPECT_EQ(admission.submit(admissionRequest(3, 1, now + Milliseconds { 250 }), now),
              AdmissionDecision::Wait);
    EXPECT_EQ(admission.submit(admissionRequest(4, 1, now + Milliseconds { 250 }), now),
              AdmissionDecision::Refuse);
    // A more urgent request is started before the one that waits.
    EXPECT_EQ(admission.submit(admissionRequest(5, 0, now + Milliseconds { 250 }), now),
              AdmissionDecision::Wait);
}

// Guards against a place in the queue that is never freed.
TEST(UpstreamAdmission, removesAWaitingRequest)
{
    UpstreamAdmission admission;
    admission.setCapacity(1);
    EXPECT_EQ(admission.submit(admissionRequest(1, 1), now), AdmissionDecision::Start);
    EXPECT_EQ(admission.submit(admissionRequest(2, 1), now), AdmissionDecision::Wait);
    admission.remove(2);
    admission.finishWithoutResponse();
    EXPECT_EQ(admission.next(), std::nullopt);
    EXPECT_TRUE(admission.hasCapacity());
}

// Guards against more requests in flight than the capacity, over any sequence of events.
RC_GTEST_PROP(UpstreamAdmission, neverExceedsItsCapacity, (const std::vector<std::uint8_t> &events))
{
    UpstreamAdmission admission;
    admission.setCapacity(3);
    GatewayRequestId id = 0;
    for (const std::uint8_t event : events) {
        if (event % 3 == 0) {
            admission.submit(admissionRequest(++id, event % 4), now);
        } else if (event % 3 == 1 && admission.inFlight() > 0) {
            admission.finish({ event });
        } else if (admission.inFlight() > 0) {
            admission.finishShed(now);
        }
        while (admission.next()) { }
        RC_ASSERT(admission.inFlight() <= 3U);
        RC_ASSERT(admission.waitingCount() == 0 || admission.inFlight() > 0);
    }
}

// Guards against requests that stay queued at an upstream that may get none, and against a limit
// that counts them as in flight.
TEST(UpstreamAdmission, returnsAllWaitingRequestsWithoutStartingThem)
{
    UpstreamAdmission admission;
    admission.setCapacity(1);
    EXPECT_EQ(admission.submit(admissionRequest(1, 2), now), AdmissionDecision::Start);
    EXPECT_EQ(admission.submit(admissionRequest(2, 2), now), AdmissionDecision::Wait);
    EXPECT_EQ(admission.submit(admissionRequest(3, 1), now), AdmissionDecision::Wait);
    EXPECT_EQ(admission.takeWaiting(), (std::vector<GatewayRequestId> { 3, 2 }));
    EXPECT_EQ(admission.waitingCount(), 0U);
    EXPECT_EQ(admission.inFlight(), 1U);
}
