#include "registry/groupmember.h"

#include "process/identityfile.h"

#include <algorithm>
#include <filesystem>
#include <set>

#include <nlohmann/json.hpp>

namespace cassiaroad {

namespace {

// Timing of the replicas. The members are in two regions with a round-trip time of 40 ms between
// them, on links that lose packets.
constexpr Milliseconds replicaHeartbeatInterval { 100 };
constexpr Milliseconds minElectionTimeout { 500 };
constexpr Milliseconds maxElectionTimeout { 900 };
constexpr Milliseconds leaderLease { 420 };
constexpr Milliseconds slotCheckInterval { 250 };
constexpr Milliseconds callTimeout { 500 }; // to connect
// A voter that has been silent for this long loses its slot to a host that requests one.
constexpr Milliseconds successionDelay { 3000 };
// A host that has lost its disk receives the state and this much of the log. More would fill the
// link of the leader and delay its heartbeats.
constexpr std::size_t snapshotBytes = std::size_t(128) * 1024;
constexpr std::uint64_t entriesRetained = 50;
constexpr const char *groupName = "site";
constexpr const char *membersFile = "members.json";

std::vector<std::string> ipsOf(const std::vector<HostAddress> &addresses)
{
    std::vector<std::string> ips;
    ips.reserve(addresses.size());
    for (const HostAddress &address : addresses) {
        ips.push_back(address.ip);
    }
    return ips;
}

// Number of members that the group needs in order to tolerate the losses.
std::uint32_t slotCount(const SiteSettings &settings)
{
    return 2 * settings.toleratedLosses + 1;
}

} // namespace

GroupMember::GroupMember(EventLoop &loop, const SiteSettings &settings, Metrics &metrics,
                         EventLog &log, ReplicaHandlers handlers)
    : loop(loop)
    , settings(settings)
    , role(std::get<RegistrySettings>(settings.role))
    , metrics(metrics)
    , log(log)
    , handlers(std::move(handlers))
    , bytes(std::make_shared<ByteCounters>())
    , seedIps(ipsOf(settings.seeds))
    , search(loop, settings, log,
             { [this](const GroupHint &hint) { this->onHint(hint); },
               [this](const StartMember &start) { this->join(start); } })
    , tasks(*this)
{
    this->handlers.folderDropped = [this] { this->scheduleSearch(); };
}

GroupMember::~GroupMember() = default;

std::string GroupMember::logFolder() const
{
    return this->role.dataFolder + "/log";
}

std::string GroupMember::start()
{
    std::error_code error;
    std::filesystem::create_directories(this->role.dataFolder, error);
    if (error) {
        return "cannot create " + this->role.dataFolder + ": " + error.message();
    }
    this->loadMembers();
    this->slotTimer = this->loop.callEvery(slotCheckInterval, [this] {
        this->callSilentSlots();
        this->askForMembers();
    });
    const auto identity = readIdentity(this->logFolder());
    const auto *known = std::get_if<std::optional<MemberIdentity>>(&identity);
    if (known != nullptr && *known) {
        return this->startReplica({ (*known)->member.number, false });
    }
    this->searchGroup();
    return {};
}

void GroupMember::searchGroup()
{
    const bool canBootstrapGroup
            = this->role.bootstrap && this->role.canBecomeVoter && !this->seedIps.empty()
              && this->seedIps.front() == this->settings.ip && this->members.empty();
    this->search.start(this->seedIps, canBootstrapGroup);
}

void GroupMember::onHint(const GroupHint &hint)
{
    this->reportedLeader = hint.leaderIp.empty() ? this->reportedLeader : hint.leaderIp;
    // The leader that assigns a slot knows the list for certain. A list in the data folder may be
    // of a group that was there before.
    const bool isCertain = hint.slot != 0;
    if (isCertain) {
        this->members.clear();
    }
    if (isCertain || hint.membersRevision >= this->membersRevision) {
        this->membersRevision = hint.membersRevision;
        for (const auto &[slot, address] : hint.members) {
            this->members[slot] = address;
        }
    }
}

void GroupMember::join(const StartMember &start)
{
    this->members[start.slot] = this->settings.ip;
    this->saveMembers();
    const std::string reason = this->startReplica(start);
    if (!reason.empty()) {
        this->handlers.failed(reason);
    }
}

// Calls the silent slots while this host leads or knows no leader: the others hear only the leader.
void GroupMember::callSilentSlots()
{
    if (!this->driver || (!this->isLeader() && this->driver->leader())) {
        return;
    }
    const std::uint32_t own = std::get<ControlSettings>(this->memberSettings->role).member;
    const std::string request = encode(MemberCall { this->settings.ip, own });
    for (const std::string &ip : this->slotCalls.due(this->members, this->settings.ip,
                                                     this->lastContact, this->loop.now())) {
        this->callOnce(ip, request, [](const GroupHint &) {});
    }
}

// Asks the hosts of the settings and the known members for a newer list, if no leader is known.
void GroupMember::askForMembers()
{
    const bool knowsLeader = !this->driver || this->driver->leader().has_value();
    if (!this->lostContact.isDue(knowsLeader, this->loop.now())) {
        return;
    }
    std::set<std::string> ips(this->seedIps.begin(), this->seedIps.end());
    for (const auto &[slot, ip] : this->members) {
        ips.insert(ip);
    }
    ips.erase(this->settings.ip);
    const std::string request = encode(JoinRequest { this->settings.ip, false });
    for (const std::string &ip : ips) {
        this->callOnce(ip, request, [this, ip](const GroupHint &hint) {
            if (!hint.groupExists || hint.membersRevision <= this->membersRevision) {
                return;
            }
            const std::uint32_t own = std::get<ControlSettings>(this->memberSettings->role).member;
            const auto holder = hint.members.find(own);
            this->log.write({ "members_learned",
                              Event::Weight::Always,
                              { { "ip", ip },
                                { "revision", std::int64_t(hint.membersRevision) },
                                { "slot_ip", holder == hint.members.end() ? std::string()
                                                                          : holder->second } } });
            this->setMembers({ hint.membersRevision, hint.members });
        });
    }
}

// Sends a join request to the host at @p ip on a connection of its own.
void GroupMember::callOnce(const std::string &ip, const std::string &request,
                           std::function<void(const GroupHint &)> onHint)
{
    auto connection = std::make_shared<RpcConnection>(
            this->loop, HostAddress { ip, this->settings.internalPort }, callTimeout, this->bytes);
    this->tasks.add(
            callJoin(*connection, request).then(std::move(onHint)).attach(std::move(connection)));
}

// Removes the identity of the data folder and searches for the group again: the folder was a stale
// copy, or its slot has been assigned to another host.
void GroupMember::scheduleSearch()
{
    this->log.write({ "folder_dropped", Event::Weight::Always, {} });
    // Deferred, since the driver is still running the handler that called this function.
    this->restartTimer = this->loop.callAfter({}, [this] {
        this->driver.reset();
        if (const auto error = removeIdentity(this->logFolder())) {
            this->handlers.failed(error->toString());
            return;
        }
        this->searchGroup();
    });
}

Settings GroupMember::replicaSettings(std::uint32_t slot) const
{
    Settings result;
    result.host = this->settings.host;
    result.group = groupName;
    result.region = groupName;
    for (std::uint32_t number = 1; number <= slotCount(this->settings); ++number) {
        MemberSettings member;
        member.number = number;
        result.members.push_back(member);
    }
    ControlSettings control;
    control.member = slot;
    control.dataFolder = this->logFolder();
    control.snapshotBytes = snapshotBytes;
    control.entriesRetained = entriesRetained;
    result.role = control;
    result.timing.heartbeatInterval = replicaHeartbeatInterval;
    result.timing.minElectionTimeout = minElectionTimeout;
    result.timing.maxElectionTimeout = maxElectionTimeout;
    result.timing.leaderLease = leaderLease;
    return result;
}

std::string GroupMember::startReplica(const StartMember &start)
{
    this->log.write({ "member_start",
                      Event::Weight::Always,
                      { { "slot", std::int64_t(start.slot) }, { "founds", start.bootstrap } } });
    this->memberSettings = this->replicaSettings(start.slot);
    this->driver = std::make_unique<ReplicaDriver>(this->loop, *this->memberSettings, this->metrics,
                                                   this->handlers);
    this->driver->setOwnIp(this->settings.ip);
    this->connect();
    return this->driver->start(start.bootstrap);
}

// Sets the addresses of the other members for the replica.
void GroupMember::connect()
{
    if (!this->driver) {
        return;
    }
    const std::uint32_t own = std::get<ControlSettings>(this->memberSettings->role).member;
    for (const auto &[slot, ip] : this->members) {
        if (slot != own) {
            this->driver->setPeer(slot, { ip, this->settings.internalPort });
        }
    }
}

void GroupMember::setMembers(const MemberList &list)
{
    if (list.revision < this->membersRevision) {
        return;
    }
    bool changed = list.revision != this->membersRevision;
    this->membersRevision = list.revision;
    for (const auto &[slot, ip] : list.ips) {
        std::string &known = this->members[slot];
        if (known != ip) {
            changed = true;
            known = ip;
            this->lastContact[slot] = this->loop.now();
        }
    }
    if (changed) {
        this->saveMembers();
        this->connect();
    }
}

void GroupMember::saveMembers()
{
    nlohmann::json ips = nlohmann::json::array();
    for (const auto &[slot, ip] : this->members) {
        ips.push_back({ slot, ip });
    }
    const nlohmann::json list = { { "revision", this->membersRevision }, { "members", ips } };
    // Logged only: without the file, the members are looked up through the seeds.
    if (const auto error = replaceFile(this->role.dataFolder, membersFile, list.dump())) {
        this->log.write(
                { "members_unsaved", Event::Weight::Always, { { "reason", error->toString() } } });
    }
}

void GroupMember::loadMembers()
{
    const auto content = readWholeFile(this->role.dataFolder + "/" + membersFile);
    const auto *text = std::get_if<std::string>(&content);
    const auto file = nlohmann::json::parse(text != nullptr ? *text : "", nullptr, false);
    if (file.is_object() && file.contains("revision") && file["revision"].is_number_unsigned()) {
        this->membersRevision = file["revision"].get<std::uint64_t>();
    }
    // The file was a list without a revision at first.
    const auto list = file.is_object() ? file.value("members", nlohmann::json()) : file;
    if (!list.is_array()) {
        return;
    }
    for (const auto &entry : list) {
        if (entry.is_array() && entry.size() == 2 && entry[0].is_number_unsigned()
            && entry[1].is_string()) {
            this->members[entry[0].get<std::uint32_t>()] = entry[1].get<std::string>();
        }
    }
}

void GroupMember::propose(std::uint64_t proposal, std::string command)
{
    if (!this->driver) {
        this->handlers.proposalFailed(proposal);
        return;
    }
    this->driver->propose(proposal, std::move(command));
}

void GroupMember::receive(std::uint32_t from, const std::string &ip, std::string_view message)
{
    const auto owner = this->members.find(from);
    const bool isOwner = ip.empty() || owner == this->members.end() || owner->second == ip;
    if (isOwner) {
        this->lastContact[from] = this->loop.now();
    }
    if (this->driver && isOwner) {
        this->driver->receive(message);
    } else if (this->driver) {
        this->driver->receiveFromFormerOwner(message, { ip, this->settings.internalPort });
    }
}

void GroupMember::setSeeds(const std::vector<HostAddress> &seeds)
{
    this->seedIps = ipsOf(seeds);
    this->search.setSeeds(this->seedIps);
}

void GroupMember::stepDown()
{
    if (this->driver) {
        this->driver->transferLeadership({});
    }
}

Term GroupMember::term() const
{
    const Replica *replica = this->driver ? this->driver->replica() : nullptr;
    return replica != nullptr ? replica->term() : 0;
}

bool GroupMember::isVoter() const
{
    const Replica *replica = this->driver ? this->driver->replica() : nullptr;
    return replica != nullptr && replica->configuration().contains(replica->id());
}

std::size_t GroupMember::voterCount() const
{
    const Replica *replica = this->driver ? this->driver->replica() : nullptr;
    return replica != nullptr ? replica->configuration().voters.size() : 0;
}

bool GroupMember::hasEnoughVoters() const
{
    return this->voterCount()
           >= std::max<std::size_t>(std::size_t(2) * this->settings.toleratedLosses, 1);
}

std::string GroupMember::leaderIp() const
{
    if (!this->driver) {
        return this->reportedLeader;
    }
    const std::optional<std::uint32_t> slot = this->driver->leader();
    const auto found = slot ? this->members.find(*slot) : this->members.end();
    return found == this->members.end() ? std::string() : found->second;
}

GroupHint GroupMember::hint() const
{
    GroupHint result;
    result.groupExists = this->driver != nullptr || !this->members.empty();
    result.leaderIp = this->leaderIp();
    result.members = this->members;
    result.membersRevision = this->membersRevision;
    return result;
}

void GroupMember::startTerm()
{
    for (const auto &[slot, ip] : this->members) {
        this->lastContact[slot] = this->loop.now();
    }
}

std::optional<std::uint32_t> GroupMember::slotFor(const std::string &ip) const
{
    for (const auto &[slot, known] : this->members) {
        if (known == ip) {
            return slot;
        }
    }
    std::optional<std::uint32_t> silent;
    TimePoint silentSince;
    for (std::uint32_t slot = 1; slot <= slotCount(this->settings); ++slot) {
        if (!this->members.contains(slot)) {
            return slot;
        }
        const auto contact = this->lastContact.find(slot);
        const TimePoint last
                = contact == this->lastContact.end() ? this->loop.now() : contact->second;
        const bool isOwn = this->members.at(slot) == this->settings.ip;
        if (!isOwn && this->loop.now() - last > successionDelay
            && (!silent || last < silentSince)) {
            silent = slot;
            silentSince = last;
        }
    }
    return silent;
}

void GroupMember::taskFailed(kj::Exception && /*exception*/)
{
    // A host that has not answered is called again.
}

} // namespace cassiaroad
