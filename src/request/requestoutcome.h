#pragma once

#include <string>
#include <variant>

namespace cassiaroad {

/** The upstream answered; the caller gets that answer. */
struct Answered
{
    int status = 0;

    bool operator==(const Answered &) const = default;
};

/** Refused; no byte reached an upstream that may run the request, or the upstream said so. */
struct RefusedNotRun
{
    int status = 503;
    std::string reason;

    bool operator==(const RefusedNotRun &) const = default;
};

/** The request may have run; the system never sends it again unless it is idempotent. */
struct OutcomeUnknown
{
    int status = 502;
    std::string reason;

    bool operator==(const OutcomeUnknown &) const = default;
};

/** How a request ended. */
using RequestOutcome = std::variant<Answered, RefusedNotRun, OutcomeUnknown>;

/** Value of the Cassiaroad-Outcome header: "answered", "not-run" or "unknown". Thread-safe. */
const char *outcomeHeaderValue(const RequestOutcome &outcome);

} // namespace cassiaroad
