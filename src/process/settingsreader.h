#pragma once

#include "process/inifile.h"
#include "process/sectionreader.h"
#include "process/settings.h"

#include <string>
#include <vector>

namespace cassiaroad {

/** Reads the sections of one settings file into Settings. Used once; not thread-safe. */
class SettingsReader
{
public:
    /** @p file is the path of the settings file; @p ini its content, which must outlive this. */
    SettingsReader(std::string file, const IniFile &ini);

    /** Reads all sections and checks that their values are compatible. Call once. */
    Settings read();

    /** The errors that read() detected, in the order of their lines; missing keys come first. */
    std::vector<SettingsError> errors() const;

private:
    SectionReader section(const std::string &name);
    std::vector<std::string> namesAfter(const std::string &prefix) const;
    int lineOf(const std::string &name) const;
    void readSite();
    void readHost();
    void readRegion(const std::string &name);
    void readServices();
    void readMembers();
    void readRole();
    EntrySettings readEntry();
    ControlSettings readControl();
    OperatorSettings readOperator();
    void readTiming();
    void readLimits();
    void readPlacement();
    void checkSections();

    std::string file;
    const IniFile &ini;
    Settings settings;
    std::string roleName;
    std::vector<std::string> regionNames;
    std::vector<SettingsError> errorList;
};

} // namespace cassiaroad
