#pragma once

#include "process/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace cassiaroad {

/** Time until which a caller waits; may be unlimited. Immutable. */
class Deadline
{
public:
    /** Upper bound of the time to a deadline that a caller sets. */
    static constexpr Milliseconds maxDuration { 600000 };

    /** No limit: for parts of uploads, whose duration is limited by their progress. */
    static Deadline unlimited() { return Deadline(std::nullopt); }
    static Deadline after(Milliseconds span, TimePoint now) { return Deadline(now + span); }

    /**
     * Reads the Cassiaroad-Deadline-Ms header, a whole number from 1 to 600,000. An empty text
     * gives @p fallback. Returns nothing if the text cannot be read.
     */
    static std::optional<Deadline> parse(std::string_view text, const Deadline &fallback,
                                         TimePoint now);

    bool isUnlimited() const { return !this->end.has_value(); }
    bool hasPassed(TimePoint now) const { return this->end.has_value() && *this->end <= now; }

    /** Whether @p span fits between @p now and the deadline. */
    bool hasTimeFor(Milliseconds span, TimePoint now) const
    {
        return !this->end.has_value() || now + span <= *this->end;
    }

    /** Time left, at least 0; `maxDuration` if there is no limit. */
    Milliseconds timeLeft(TimePoint now) const;

    auto operator<=>(const Deadline &) const = default;

private:
    explicit Deadline(std::optional<TimePoint> end)
        : end(end)
    { }

    std::optional<TimePoint> end;
};

} // namespace cassiaroad
