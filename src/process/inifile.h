#pragma once

#include <string>
#include <vector>

namespace cassiaroad {

/** One "key = value" line of an INI file. */
struct IniEntry
{
    std::string key;
    std::string value;
    int line = 0;

    bool operator==(const IniEntry &) const = default;
};

/** One "[name]" section of an INI file with its entries in file order. */
struct IniSection
{
    std::string name;
    int line = 0;
    std::vector<IniEntry> entries;

    bool operator==(const IniSection &) const = default;
};

/** A line that is neither a section, an entry, a comment nor blank. */
struct IniError
{
    int line = 0;
    std::string text;

    bool operator==(const IniError &) const = default;
};

/** Text of an INI file split into sections and entries, each with its line number. Immutable. */
class IniFile
{
public:
    /** Parses @p text with inih. Thread-safe. */
    explicit IniFile(const std::string &text);

    const std::vector<IniSection> &sections() const { return this->sectionList; }
    const std::vector<IniError> &syntaxErrors() const { return this->syntaxErrorList; }

private:
    std::vector<IniSection> sectionList;
    std::vector<IniError> syntaxErrorList;
};

} // namespace cassiaroad
