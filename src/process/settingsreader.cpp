#include "process/settingsreader.h"

#include "process/settingschecks.h"

#include <algorithm>
#include <bit>
#include <set>

namespace cassiaroad {

namespace {

constexpr std::int64_t maxDuration = 3'600'000;
constexpr std::int64_t maxRetention = 30LL * 24 * 3600 * 1000;
constexpr std::int64_t maxMemberNumber = 9999;
constexpr std::int64_t maxShards = 65536;

// Nothing in the program requires these limits; they detect values with a digit too many.
constexpr std::int64_t maxBodyKib = 65536;
constexpr std::int64_t maxConnections = 1'000'000;
constexpr std::int64_t maxQueueLength = 100'000;
constexpr std::int64_t maxLedgerRecords = 10'000'000;
constexpr std::int64_t maxMovedKeys = 65536;
constexpr double maxWeight = 1000.0;

const std::vector<std::string> roles { "entry", "control", "operator" };
const std::vector<std::string> priorities { "critical", "normal", "bulk" };

Priority priorityOf(const std::string &word)
{
    if (word == "critical") {
        return Priority::Critical;
    }
    return word == "bulk" ? Priority::Bulk : Priority::Normal;
}

} // namespace

SettingsReader::SettingsReader(std::string file, const IniFile &ini)
    : file(std::move(file))
    , ini(ini)
{ }

Settings SettingsReader::read()
{
    for (const IniError &syntaxError : this->ini.syntaxErrors()) {
        this->errorList.push_back({ this->file, syntaxError.line, "syntax", syntaxError.text,
                                    "[section], key = value, or a comment after ; or #" });
    }
    this->readSite();
    this->readHost();
    this->readServices();
    this->readMembers();
    this->readRole();
    this->readTiming();
    this->readLimits();
    this->readPlacement();
    this->checkSections();
    SettingsChecks(this->file, this->ini, this->settings, this->errorList).run();
    return this->settings;
}

std::vector<SettingsError> SettingsReader::errors() const
{
    std::vector<SettingsError> sorted = this->errorList;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto &left, const auto &right) { return left.line < right.line; });
    return sorted;
}

SectionReader SettingsReader::section(const std::string &name)
{
    const auto found
            = std::find_if(this->ini.sections().begin(), this->ini.sections().end(),
                           [&](const IniSection &candidate) { return candidate.name == name; });
    return { this->file, name, found == this->ini.sections().end() ? nullptr : &*found,
             this->errorList };
}

std::vector<std::string> SettingsReader::namesAfter(const std::string &prefix) const
{
    std::vector<std::string> names;
    for (const IniSection &section : this->ini.sections()) {
        const std::string rest = section.name.starts_with(prefix)
                                         ? section.name.substr(prefix.size())
                                         : std::string();
        if (!rest.empty() && std::find(names.begin(), names.end(), rest) == names.end()) {
            names.push_back(rest);
        }
    }
    return names;
}

int SettingsReader::lineOf(const std::string &name) const
{
    const auto found
            = std::find_if(this->ini.sections().begin(), this->ini.sections().end(),
                           [&](const IniSection &candidate) { return candidate.name == name; });
    return found == this->ini.sections().end() ? 0 : found->line;
}

void SettingsReader::readSite()
{
    SectionReader site = this->section("site");
    this->settings.site = site.name("name");
    this->regionNames = site.names("regions");
    site.finish();
    for (const std::string &name : this->regionNames) {
        this->readRegion(name);
    }
}

void SettingsReader::readRegion(const std::string &name)
{
    SectionReader section = this->section("region." + name);
    RegionSettings region;
    region.name = name;
    region.zones = section.names("zones");
    region.gateways = section.addresses("gateways");
    section.finish();
    this->settings.regions.push_back(region);
}

void SettingsReader::readHost()
{
    SectionReader host = this->section("host");
    this->settings.host = host.name("name");
    this->roleName = host.choice("role", roles);
    this->settings.region = host.choice("region", this->regionNames);
    this->settings.group = this->settings.region;
    std::vector<std::string> zones;
    for (const RegionSettings &region : this->settings.regions) {
        if (region.name == this->settings.region) {
            zones = region.zones;
        }
    }
    this->settings.zone = host.choice("zone", zones);
    host.finish();
}

void SettingsReader::readServices()
{
    for (const std::string &name : this->namesAfter("service.")) {
        SectionReader section = this->section("service." + name);
        ServiceSettings service;
        service.name = name;
        const std::int64_t shards = section.integerOr("shards", 1, maxShards, service.shards);
        service.shards = static_cast<std::uint32_t>(shards);
        if (!std::has_single_bit(service.shards)) {
            section.fail("shards", "a power of two from 1 to 65536");
        }
        service.writePriority
                = priorityOf(section.choiceOr("write-priority", priorities, "normal"));
        service.readPriority = priorityOf(section.choiceOr("read-priority", priorities, "normal"));
        section.finish();
        this->settings.services.push_back(service);
    }
    if (this->settings.services.empty()) {
        this->errorList.push_back({ this->file, 0, "service", "", "at least one [service.NAME]" });
    }
}

void SettingsReader::readMembers()
{
    for (const std::string &text : this->namesAfter("member.")) {
        const bool isNumber = text.find_first_not_of("0123456789") == std::string::npos
                              && text.size() <= 4 && text[0] != '0';
        if (!isNumber) {
            this->errorList.push_back({ this->file, this->lineOf("member." + text), "member", text,
                                        "a number from 1 to " + std::to_string(maxMemberNumber) });
            continue;
        }
        SectionReader section = this->section("member." + text);
        MemberSettings member;
        member.number = static_cast<std::uint32_t>(std::stoul(text));
        member.region = section.choice("region", this->regionNames);
        std::vector<std::string> zones;
        for (const RegionSettings &region : this->settings.regions) {
            if (region.name == member.region) {
                zones = region.zones;
            }
        }
        member.zone = section.choice("zone", zones);
        member.rpc = section.address("rpc");
        member.operators = section.address("operators");
        section.finish();
        this->settings.members.push_back(member);
    }
}

void SettingsReader::readRole()
{
    if (this->roleName == "entry") {
        this->settings.role = this->readEntry();
    } else if (this->roleName == "control") {
        this->settings.role = this->readControl();
    } else if (this->roleName == "operator") {
        this->settings.role = this->readOperator();
    }
}

EntrySettings SettingsReader::readEntry()
{
    SectionReader section = this->section("entry");
    EntrySettings entry;
    entry.callers = section.address("callers");
    entry.announce = section.address("announce");
    entry.admin = section.address("admin");
    entry.announceToken = section.tokenFile("announce-token-file");
    entry.traceFile = section.pathOr("trace-file", {});
    section.finish();
    return entry;
}

ControlSettings SettingsReader::readControl()
{
    SectionReader section = this->section("control");
    ControlSettings control;
    control.member = static_cast<std::uint32_t>(section.integer("member", 1, maxMemberNumber));
    control.dataFolder = section.path("data");
    control.operatorToken = section.tokenFile("operator-token-file");
    this->settings.group = section.choiceOr("group", this->regionNames, this->settings.region);
    section.finish();
    return control;
}

OperatorSettings SettingsReader::readOperator()
{
    SectionReader section = this->section("operator");
    OperatorSettings result { section.tokenFile("operator-token-file") };
    section.finish();
    return result;
}

void SettingsReader::readTiming()
{
    SectionReader section = this->section("timing");
    TimingSettings &timing = this->settings.timing;
    const std::vector<std::pair<const char *, Milliseconds *>> keys {
        { "heartbeat-ms", &timing.heartbeatInterval },
        { "election-min-ms", &timing.minElectionTimeout },
        { "election-max-ms", &timing.maxElectionTimeout },
        { "leader-lease-ms", &timing.leaderLease },
        { "upstream-lease-ms", &timing.upstreamLease },
        { "entry-lease-ms", &timing.entryLease },
        { "announce-interval-ms", &timing.announceInterval },
        { "watch-hold-ms", &timing.watchTimeout },
        { "initial-assignment-ms", &timing.initialAssignmentDelay },
        { "drain-wait-ms", &timing.drainDelay },
        { "silence-ms", &timing.silenceTimeout },
        { "pool-idle-ms", &timing.poolIdleTimeout },
        { "default-deadline-ms", &timing.defaultDeadline },
    };
    for (const auto &[key, duration] : keys) {
        duration->count = section.integerOr(key, 1, maxDuration, duration->count);
    }
    section.finish();
}

void SettingsReader::readLimits()
{
    SectionReader section = this->section("limits");
    LimitSettings &limits = this->settings.limits;
    const auto number = [&](const char *key, std::int64_t maxValue, std::uint32_t &value) {
        value = static_cast<std::uint32_t>(section.integerOr(key, 1, maxValue, value));
    };
    number("max-body-kib", maxBodyKib, limits.maxBodyKib);
    number("max-connections", maxConnections, limits.maxConnections);
    number("queue-length", maxQueueLength, limits.queueLength);
    number("retry-percent", 100, limits.retryPercent);
    number("eject-percent", 100, limits.ejectPercent);
    number("ledger-records", maxLedgerRecords, limits.ledgerRecordLimit);
    number("moved-keys", maxMovedKeys, limits.movedKeys);
    limits.queueTimeout.count
            = section.integerOr("queue-time-ms", 1, maxDuration, limits.queueTimeout.count);
    limits.ledgerRetention.count = section.integerOr("ledger-retention-ms", 1000, maxRetention,
                                                     limits.ledgerRetention.count);
    section.finish();
}

void SettingsReader::readPlacement()
{
    SectionReader section = this->section("placement");
    PlacementSettings &weights = this->settings.placement;
    weights.imbalanceWeight
            = section.numberOr("imbalance-weight", 0, maxWeight, weights.imbalanceWeight);
    weights.churnWeight = section.numberOr("churn-weight", 0, maxWeight, weights.churnWeight);
    weights.unavailabilityWeight
            = section.numberOr("unavailability-weight", 0, maxWeight, weights.unavailabilityWeight);
    section.finish();
}

void SettingsReader::checkSections()
{
    std::set<std::string> allowed { "site", "host", "timing", "limits", "placement" };
    allowed.insert(this->roleName);
    for (const std::string &region : this->regionNames) {
        allowed.insert("region." + region);
    }
    std::set<std::string> seen;
    for (const IniSection &section : this->ini.sections()) {
        const bool known = allowed.contains(section.name) || section.name.starts_with("service.")
                           || section.name.starts_with("member.");
        if (!known) {
            this->errorList.push_back({ this->file, section.line, section.name, "",
                                        "no such section for this role and these regions" });
        } else if (!seen.insert(section.name).second) {
            this->errorList.push_back(
                    { this->file, section.line, section.name, "", "each section once" });
        }
    }
}

} // namespace cassiaroad
