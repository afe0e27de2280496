#include "process/settingschecks.h"

#include <algorithm>
#include <map>
#include <set>

namespace cassiaroad {

namespace {

// Members of a control group: two in the zones of the region and the tie-breaking one in another.
constexpr std::size_t groupSize = 3;

/** A key whose value is an address, and the host that listens there. */
struct AddressUse
{
    std::string section;
    std::string key;
    HostAddress address;
    std::string listener; // the same one may use its address in several sections
};

std::vector<AddressUse> addressUses(const Settings &settings)
{
    std::vector<AddressUse> uses;
    for (const RegionSettings &region : settings.regions) {
        for (const HostAddress &gateway : region.gateways) {
            const std::string listener = region.name + " callers";
            uses.push_back({ "region." + region.name, "gateways", gateway, listener });
        }
    }
    for (const MemberSettings &member : settings.members) {
        const std::string section = "member." + std::to_string(member.number);
        uses.push_back({ section, "rpc", member.rpc, section + " rpc" });
        uses.push_back({ section, "operators", member.operators, section + " operators" });
    }
    if (const auto *entry = std::get_if<EntrySettings>(&settings.role)) {
        uses.push_back({ "entry", "callers", entry->callers, settings.region + " callers" });
        uses.push_back({ "entry", "announce", entry->announce, "announce" });
        uses.push_back({ "entry", "admin", entry->admin, "admin" });
    }
    std::erase_if(uses, [](const AddressUse &use) { return use.address.port == 0; });
    return uses;
}

} // namespace

SettingsChecks::SettingsChecks(const std::string &file, const IniFile &ini,
                               const Settings &settings, std::vector<SettingsError> &errors)
    : file(file)
    , ini(ini)
    , settings(settings)
    , errors(errors)
{ }

void SettingsChecks::run()
{
    this->checkTiming();
    this->checkGroup();
    this->checkAddresses();
}

void SettingsChecks::fail(const std::string &section, const std::string &key,
                          const std::string &allowed)
{
    SettingsError error { this->file, 0, section + "." + key, "", allowed };
    for (const IniSection &candidate : this->ini.sections()) {
        for (const IniEntry &entry : candidate.entries) {
            if (candidate.name == section && entry.key == key) {
                error.line = entry.line;
                error.value = entry.value;
            }
        }
    }
    this->errors.push_back(error);
}

void SettingsChecks::failUnless(bool condition, const std::string &section, const std::string &key,
                                const std::string &allowed)
{
    if (!condition) {
        this->fail(section, key, allowed);
    }
}

void SettingsChecks::checkTiming()
{
    const TimingSettings &timing = this->settings.timing;
    this->failUnless(
            timing.minElectionTimeout < timing.maxElectionTimeout, "timing", "election-min-ms",
            "less than election-max-ms (" + std::to_string(timing.maxElectionTimeout.count) + ")");
    this->failUnless(timing.leaderLease < timing.minElectionTimeout, "timing", "leader-lease-ms",
                     "less than election-min-ms (" + std::to_string(timing.minElectionTimeout.count)
                             + ")");
    // A lease that is longer than two renewal intervals stays valid if one renewal is lost.
    this->failUnless(timing.leaderLease > timing.heartbeatInterval * 2, "timing", "leader-lease-ms",
                     "more than twice heartbeat-ms ("
                             + std::to_string(timing.heartbeatInterval.count) + ")");
    this->failUnless(timing.upstreamLease > timing.announceInterval * 2, "timing",
                     "upstream-lease-ms",
                     "more than twice announce-interval-ms ("
                             + std::to_string(timing.announceInterval.count) + ")");
    this->failUnless(timing.entryLease > timing.watchTimeout * 2, "timing", "entry-lease-ms",
                     "more than twice watch-hold-ms (" + std::to_string(timing.watchTimeout.count)
                             + ")");
    this->failUnless(
            this->settings.limits.queueTimeout <= timing.defaultDeadline, "limits", "queue-time-ms",
            "at most default-deadline-ms (" + std::to_string(timing.defaultDeadline.count) + ")");
}

void SettingsChecks::checkGroup()
{
    const std::vector<MemberSettings> &members = this->settings.members;
    if (members.size() != groupSize) {
        this->errors.push_back({ this->file, 0, "member", std::to_string(members.size()),
                                 "3 sections [member.N], for the members of the group" });
        return;
    }
    std::set<std::string> zones;
    std::size_t outsideCount = 0;
    for (const MemberSettings &member : members) {
        const std::string section = "member." + std::to_string(member.number);
        this->failUnless(member.zone.empty() || zones.insert(member.zone).second, section, "zone",
                         "a zone that no other member of the group is in");
        outsideCount += member.region != this->settings.group ? 1 : 0;
    }
    if (this->settings.regions.size() > 1 && outsideCount != 1) {
        this->errors.push_back({ this->file, 0, "member.region",
                                 std::to_string(outsideCount) + " outside " + this->settings.group,
                                 "exactly 1 member outside the group's region" });
    }
    const auto *control = std::get_if<ControlSettings>(&this->settings.role);
    if (control == nullptr) {
        return;
    }
    const auto own = std::find_if(members.begin(), members.end(), [&](const auto &member) {
        return member.number == control->member;
    });
    this->failUnless(own != members.end(), "control", "member", "the number of a [member.N]");
    this->failUnless(own == members.end() || own->zone == this->settings.zone, "host", "zone",
                     "the zone of the own [member.N]");
}

void SettingsChecks::checkAddresses()
{
    std::map<HostAddress, AddressUse> first;
    for (const AddressUse &use : addressUses(this->settings)) {
        const auto [known, added] = first.emplace(use.address, use);
        const bool sameHost
                = known->second.listener == use.listener && known->second.section != use.section;
        if (!added && !sameHost) {
            this->fail(use.section, use.key,
                       "an address of its own; " + use.address.toString() + " is "
                               + known->second.section + "." + known->second.key);
        }
    }
}

} // namespace cassiaroad
