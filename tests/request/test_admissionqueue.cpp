#include "request/admissionqueue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

constexpr TimePoint start { 1000 };
constexpr Milliseconds noTime { 0 };

Admission add(AdmissionQueue &queue, RequestId id, Priority priority)
{
    return queue.add(id, priority, Deadline::unlimited(), noTime, noTime, start);
}

} // namespace

// Guards against requests for proofs that delay orders under overload.
TEST(AdmissionQueue, startsCriticalFirstAndDisplacesBulkWhenFull)
{
    AdmissionQueue queue(2, { 1000 });
    EXPECT_EQ(add(queue, 1, Priority::Bulk), Admission(Waiting {}));
    EXPECT_EQ(add(queue, 2, Priority::Bulk), Admission(Waiting {}));
    EXPECT_EQ(add(queue, 3, Priority::Bulk), Admission(Refused { "queue is full" }));
    EXPECT_EQ(add(queue, 4, Priority::Critical), Admission(Displaced { 2 }));
    EXPECT_EQ(add(queue, 5, Priority::Normal), Admission(Displaced { 1 }));
    EXPECT_EQ(add(queue, 6, Priority::Normal), Admission(Refused { "queue is full" }));
    EXPECT_EQ(queue.takeNext(), std::optional<RequestId>(4));
    EXPECT_EQ(queue.takeNext(), std::optional<RequestId>(5));
    EXPECT_EQ(queue.takeNext(), std::nullopt);
}

// Guards against requests that wait although they cannot get a response in time.
TEST(AdmissionQueue, refusesRequestsThatWouldMissTheirDeadline)
{
    AdmissionQueue queue(100, { 1000 });
    const Deadline deadline = Deadline::after({ 100 }, start);
    EXPECT_EQ(queue.add(1, Priority::Normal, deadline, { 30 }, { 30 }, start),
              Admission(Waiting {}));
    EXPECT_EQ(queue.add(2, Priority::Normal, deadline, { 30 }, { 30 }, start),
              Admission(Waiting {}));
    EXPECT_EQ(queue.add(3, Priority::Normal, deadline, { 30 }, { 30 }, start),
              Admission(Refused { "deadline cannot be met" }));
    EXPECT_EQ(queue.add(4, Priority::Critical, deadline, { 30 }, { 30 }, start),
              Admission(Waiting {}));
}

TEST(AdmissionQueue, limitsTheTimeInTheQueue)
{
    AdmissionQueue queue(100, { 1000 });
    queue.add(1, Priority::Normal, Deadline::after({ 300 }, start), noTime, noTime, start);
    add(queue, 2, Priority::Critical);
    EXPECT_TRUE(queue.takeExpired(start + Milliseconds { 299 }).empty());
    EXPECT_EQ(queue.takeExpired(start + Milliseconds { 300 }), std::vector<RequestId> { 1 });
    EXPECT_TRUE(queue.takeExpired(start + Milliseconds { 999 }).empty());
    EXPECT_EQ(queue.takeExpired(start + Milliseconds { 1000 }), std::vector<RequestId> { 2 });
    EXPECT_EQ(queue.size(), 0U);
}

// Guards against requests that are dropped, started twice, or started out of order within a
// priority.
RC_GTEST_PROP(AdmissionQueue, keepsEveryRequestOnceAndInOrder, ())
{
    const auto length = *rc::gen::inRange<std::uint32_t>(1, 8);
    AdmissionQueue queue(length, { 1000 });
    std::map<RequestId, Priority> waiting;
    RequestId next = 0;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5))) {
        if (step < 3) {
            const auto priority = static_cast<Priority>(step);
            const Admission admission = add(queue, ++next, priority);
            if (const auto *displaced = std::get_if<Displaced>(&admission)) {
                RC_ASSERT(waiting.at(displaced->request) > priority);
                waiting.erase(displaced->request);
            }
            if (!std::holds_alternative<Refused>(admission)) {
                waiting.emplace(next, priority);
            }
        } else if (const std::optional<RequestId> taken = queue.takeNext()) {
            const Priority priority = waiting.at(*taken);
            for (const auto &[id, other] : waiting) {
                RC_ASSERT(other > priority || (other == priority && id >= *taken));
            }
            waiting.erase(*taken);
        }
        RC_ASSERT(queue.size() == waiting.size());
        RC_ASSERT(queue.size() <= length);
    }
}
