#pragma once

#include <string>

namespace cassiaroad {

/** Log of one part of the program; each line starts with the part's fixed prefix ("entry: ..."). */
class Log
{
public:
    /** Creates the log of the part @p prefix (lower case, without colon). Loop thread only. */
    explicit Log(std::string prefix);

    void debug(const std::string &message) const;
    void info(const std::string &message) const;
    void warning(const std::string &message) const;
    void error(const std::string &message) const;

    /** Sends all logs to standard error, synchronously. Call once before the first line. */
    static void configure(bool verbose);

    /**
     * Sends all logs to standard output as JSON lines, without waiting for the reader. Call once
     * before the first line.
     */
    static void configureStructured();

private:
    std::string prefix;
};

} // namespace cassiaroad
