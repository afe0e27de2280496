#pragma once

#include "process/clock.h"

#include <optional>

namespace cassiaroad {

/**
 * Decides when a member that knows no leader asks other hosts for the list of members: the
 * addresses that it knows may be out of date. Pure; not thread-safe.
 */
class LostContact
{
public:
    /** Returns whether to ask at @p now; to be called a few times a second. */
    bool isDue(bool knowsLeader, TimePoint now)
    {
        if (knowsLeader) {
            this->askAt.reset();
            return false;
        }
        if (!this->askAt) {
            this->askAt = now + minAbsence;
        }
        if (now < *this->askAt) {
            return false;
        }
        this->askAt = now + askInterval;
        return true;
    }

private:
    // Longer than an election between members that know each other.
    static constexpr Milliseconds minAbsence { 2000 };
    static constexpr Milliseconds askInterval { 1000 };

    std::optional<TimePoint> askAt; // nothing: a leader is known
};

} // namespace cassiaroad
