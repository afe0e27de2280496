#pragma once

#include "process/inifile.h"
#include "process/settings.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cassiaroad {

/**
 * Typed access to one section of a settings file. Each error is added to a list and a neutral value
 * is returned instead, so that the rest of the file is read as well. Not thread-safe.
 */
class SectionReader
{
public:
    /** If @p section is null, each required key is missing. The arguments must outlive this. */
    SectionReader(std::string file, std::string name, const IniSection *section,
                  std::vector<SettingsError> &errors);

    /** Reads a required value of 1 to 64 characters of [A-Za-z0-9._-]. */
    std::string name(const std::string &key);

    /** Reads an optional name. */
    std::string nameOr(const std::string &key, const std::string &fallback);

    /** Reads a name that must be one of @p choices. */
    std::string choice(const std::string &key, const std::vector<std::string> &choices);

    /** Reads an optional name out of @p choices. */
    std::string choiceOr(const std::string &key, const std::vector<std::string> &choices,
                         const std::string &fallback);

    /** Reads a required list of names, separated by commas, each of them once. */
    std::vector<std::string> names(const std::string &key);

    /** Reads a required IPv4 address with a port. */
    HostAddress address(const std::string &key);
    /** Reads a required list of addresses, separated by commas. */
    std::vector<HostAddress> addresses(const std::string &key);

    /** Reads a required path; a relative one starts at the folder of the settings file. */
    std::string path(const std::string &key);
    std::string pathOr(const std::string &key, const std::string &fallback);

    /** Reads the first line of a required file: 8 to 256 printable characters without blanks. */
    std::string tokenFile(const std::string &key);

    /** Reads an integer between @p smallest and @p largest. */
    std::int64_t integer(const std::string &key, std::int64_t minValue, std::int64_t maxValue);
    std::int64_t integerOr(const std::string &key, std::int64_t minValue, std::int64_t maxValue,
                           std::int64_t fallback);

    /** Reads a number between @p smallest and @p largest. */
    double numberOr(const std::string &key, double minValue, double maxValue, double fallback);

    /** Adds an error about @p key, at its line if it is in the file. */
    void fail(const std::string &key, const std::string &allowed);

    /** Adds an error for each key that no method has read and for each that appears twice. */
    void finish();

private:
    const IniEntry *find(const std::string &key);
    const IniEntry *require(const std::string &key, const std::string &allowed);
    std::optional<HostAddress> parseAddress(const std::string &text) const;

    std::string file;
    std::string sectionName;
    const IniSection *section;
    std::vector<SettingsError> &errors;
    std::set<std::string> known; // keys that were read, or looked for
};

} // namespace cassiaroad
