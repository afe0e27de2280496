#include "request/requestoutcome.h"

namespace cassiaroad {

namespace {

struct HeaderValue
{
    const char *operator()(const Answered &) const { return "answered"; }
    const char *operator()(const RefusedNotRun &) const { return "not-run"; }
    const char *operator()(const OutcomeUnknown &) const { return "unknown"; }
};

} // namespace

const char *outcomeHeaderValue(const RequestOutcome &outcome)
{
    return std::visit(HeaderValue {}, outcome);
}

} // namespace cassiaroad
