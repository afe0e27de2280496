#pragma once

#include <string>
#include <utility>
#include <variant>

namespace cassiaroad {

class SendProgress;

/** The upstream responded; the caller gets its response. */
struct Answered
{
    int status = 0;

    bool operator==(const Answered &) const = default;
};

/**
 * The request was refused and not run: no byte reached an upstream that may run it, or the upstream
 * reported that it did not. Only SendProgress creates it, because only SendProgress knows what was
 * written.
 */
class RefusedNotRun
{
public:
    int status() const { return this->statusCode; }
    const std::string &reason() const { return this->text; }

    bool operator==(const RefusedNotRun &) const = default;

private:
    friend class SendProgress;
    RefusedNotRun(int status, std::string reason)
        : statusCode(status)
        , text(std::move(reason))
    { }

    int statusCode;
    std::string text;
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
