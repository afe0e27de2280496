#pragma once

#include "process/clock.h"
#include "version/sitewatch.h"

#include <optional>
#include <string>
#include <vector>

namespace cassiaroad {

/**
 * What the hosts have answered that a search for the control group asks, as a text for a log line
 * about once a second. Pure; not thread-safe.
 */
class SearchReport
{
public:
    /** Begins a search, whose first line is due a second later. */
    void begin(TimePoint now);
    /** Records that the host is asked; its previous answer stays until the next one. */
    void recordQuestion(const std::string &ip);
    void recordAnswer(const std::string &ip, const GroupHint &hint);
    void recordFailure(const std::string &ip, const std::string &reason);

    /** Whether a line is due at @p now; the next one is due a second later. */
    bool takeDue(TimePoint now);
    /** Time since begin(). */
    Milliseconds duration(TimePoint now) const { return now - this->begunAt; }
    /** Each host and its last answer, for the hosts asked first. Its length is bounded. */
    std::string text() const;

private:
    struct Host
    {
        std::string ip;
        std::string answer;
    };

    Host *find(const std::string &ip);

    TimePoint begunAt;
    TimePoint dueAt;
    std::vector<Host> hosts; // in order of the first question, at most `maxHosts`
    std::size_t unlisted = 0; // questions to other hosts
};

} // namespace cassiaroad
