#include "process/sitesettings.h"

#include "process/sectionreader.h"

#include <cmath>
#include <fstream>
#include <iterator>

namespace cassiaroad {

namespace {

constexpr double millisecondsPerSecond = 1000.0;
constexpr double maxSeconds = 3600.0;
constexpr std::int64_t maxPort = 65535;
// The process itself and the responses take 80 MB (gatewayprocess.cpp).
constexpr std::int64_t minMemoryMegabytes = 100;
constexpr std::int64_t maxMemoryMegabytes = 1000000;

Milliseconds seconds(SectionReader &reader, const std::string &key, double fallback)
{
    return { std::llround(reader.numberOr(key, 0.001, maxSeconds, fallback)
                          * millisecondsPerSecond) };
}

bool flag(SectionReader &reader, const std::string &key)
{
    return reader.choice(key, { "true", "false" }) == "true";
}

/** Reads and checks the text of one settings file. Used once. */
class Parser
{
public:
    Parser(const std::string &text, std::string path)
        : path(std::move(path))
        , file(text)
    { }

    std::variant<SiteSettings, std::vector<SettingsError>> parse();

private:
    const IniSection *find(const std::string &name) const;
    SectionReader reader(const std::string &name);
    void readHost();
    void readRole();
    void readBounds();
    void readRegions();

    std::string path;
    IniFile file;
    std::vector<SettingsError> errors;
    SiteSettings settings;
};

const IniSection *Parser::find(const std::string &name) const
{
    for (const IniSection &section : this->file.sections()) {
        if (section.name == name) {
            return &section;
        }
    }
    return nullptr;
}

SectionReader Parser::reader(const std::string &name)
{
    return { this->path, name, this->find(name), this->errors };
}

void Parser::readHost()
{
    SectionReader host = this->reader("host");
    this->settings.host = host.name("name");
    this->settings.ip = host.name("ip");
    this->settings.bindIp = host.nameOr("bind-ip", this->settings.ip);
    this->settings.zone = host.name("zone");
    this->settings.internalPort
            = static_cast<std::uint16_t>(host.integer("internal-port", 1, maxPort));
    this->settings.metricsPort
            = static_cast<std::uint16_t>(host.integerOr("metrics-port", 0, maxPort, 0));
    this->settings.seeds = host.addresses("seeds");
    this->settings.toleratedLosses
            = static_cast<std::uint32_t>(host.integer("tolerated-losses", 0, 10));
    this->settings.heartbeatInterval = seconds(host, "heartbeat-s", 1.0);
    host.finish();
}

void Parser::readRole()
{
    if (this->find("gateway") != nullptr) {
        SectionReader gateway = this->reader("gateway");
        GatewaySettings role;
        role.callers = gateway.address("callers");
        role.readiness = gateway.address("readiness");
        const std::int64_t memory = gateway.integerOr("memory-mb", minMemoryMegabytes,
                                                      maxMemoryMegabytes, role.memoryMegabytes);
        role.memoryMegabytes = static_cast<std::uint32_t>(memory);
        this->settings.role = role;
        gateway.finish();
        return;
    }
    SectionReader registry = this->reader("registry");
    RegistrySettings role;
    role.control = registry.address("control");
    role.dataFolder = registry.path("data-folder");
    role.bootstrap = flag(registry, "bootstrap");
    role.canBecomeVoter = flag(registry, "counted");
    this->settings.role = role;
    registry.finish();
}

// The platform may set more bounds than the program uses; unknown ones are no error.
void Parser::readBounds()
{
    SectionReader bounds = this->reader("bounds");
    SiteBounds &values = this->settings.bounds;
    values.retryShare = bounds.numberOr("retry-share", 0.0, 10.0, values.retryShare);
    values.retrySlack = bounds.numberOr("retry-slack", 0.0, 1e6, values.retrySlack);
    values.retryWindow = seconds(bounds, "retry-window-s", 10.0);
    values.maxLeaseDuration = seconds(bounds, "hold-max-s", 10.0);
    values.stopGracePeriod = seconds(bounds, "stop-grace-s", 6.0);
    values.drainPeriod = seconds(bounds, "drain-s", 2.5);
    values.coldOver = bounds.numberOr("cold-over", 0.0, 100.0, values.coldOver);
    values.coldSlack = bounds.numberOr("cold-slack", 0.0, 1e6, values.coldSlack);
}

void Parser::readRegions()
{
    const IniSection *section = this->find("regions");
    if (section == nullptr) {
        return;
    }
    for (const IniEntry &entry : section->entries) {
        this->settings.regions[entry.key] = entry.value;
    }
}

std::variant<SiteSettings, std::vector<SettingsError>> Parser::parse()
{
    for (const IniError &syntaxError : this->file.syntaxErrors()) {
        this->errors.push_back(
                { this->path, syntaxError.line, "", syntaxError.text, "key = value" });
    }
    this->readHost();
    this->readRole();
    this->readBounds();
    this->readRegions();
    if (!this->errors.empty()) {
        return this->errors;
    }
    return this->settings;
}

} // namespace

std::variant<SiteSettings, std::vector<SettingsError>> parseSiteSettings(const std::string &text,
                                                                         const std::string &path)
{
    return Parser(text, path).parse();
}

std::variant<SiteSettings, std::vector<SettingsError>> readSiteSettings(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream) {
        return std::vector<SettingsError> { { path, 0, "", "", "a readable file" } };
    }
    return parseSiteSettings({ std::istreambuf_iterator<char>(stream), {} }, path);
}

} // namespace cassiaroad
