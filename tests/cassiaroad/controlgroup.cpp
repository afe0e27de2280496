#include "cassiaroad/controlgroup.h"

#include "connection/silentpeer.h"

#include <cstdlib>

namespace cassiaroad {

namespace {

/** Draws addresses that differ. Their ports are free again after its destruction. */
class FreeAddresses
{
public:
    HostAddress draw()
    {
        this->holders.push_back(std::make_unique<SilentPeer>());
        return { "127.0.0.1", this->holders.back()->port() };
    }

private:
    std::vector<std::unique_ptr<SilentPeer>> holders; // a port that is held is not drawn again
};

Settings commonSettings()
{
    Settings settings;
    settings.site = "rastikartta";
    settings.region = "etela";
    settings.group = "etela";
    settings.regions = { { "etela", { "etela-a", "etela-b" }, {} },
                         { "pohjoinen", { "pohjoinen-a", "pohjoinen-b" }, {} } };
    settings.services = { { "orders", 64 } };
    FreeAddresses addresses;
    settings.members = { { 1, "etela", "etela-a", addresses.draw(), addresses.draw() },
                         { 2, "etela", "etela-b", addresses.draw(), addresses.draw() },
                         { 3, "pohjoinen", "pohjoinen-a", addresses.draw(), addresses.draw() } };
    return settings;
}

} // namespace

ControlGroup::ControlGroup(EventLoop &loop)
    : loop(loop)
{
    std::string pattern = std::filesystem::temp_directory_path() / "cassiaroad-test-XXXXXX";
    this->root = mkdtemp(pattern.data());
    const Settings common = commonSettings();
    for (const MemberSettings &member : common.members) {
        Settings settings = common;
        settings.host = "control-" + std::to_string(member.number);
        settings.zone = member.zone;
        settings.region = member.region;
        settings.role = ControlSettings { member.number, this->folder(member.number), "secret" };
        this->allSettings.emplace(member.number, settings);
    }
}

ControlGroup::~ControlGroup()
{
    this->processes.clear();
    std::filesystem::remove_all(this->root);
}

std::string ControlGroup::start(std::uint32_t number, bool bootstrap)
{
    std::filesystem::create_directories(this->folder(number));
    auto process = std::make_unique<ControlProcess>(
            this->loop, this->settings(number),
            [this, number](const std::string &) { this->processes.erase(number); });
    std::string reason = process->start(bootstrap);
    if (reason.empty()) {
        this->processes[number] = std::move(process);
    }
    return reason;
}

bool ControlGroup::bootstrapGroup()
{
    const bool started
            = this->start(1, true).empty() && this->start(2).empty() && this->start(3).empty();
    return started && this->waitFor([this] { return this->hasThreeVoters(); }, { 10000 });
}

void ControlGroup::kill(std::uint32_t number)
{
    this->processes.erase(number);
}

void ControlGroup::stop(std::uint32_t number)
{
    this->processes.at(number)->stop();
}

void ControlGroup::loseFolder(std::uint32_t number)
{
    std::filesystem::remove_all(this->folder(number));
}

std::filesystem::path ControlGroup::folder(std::uint32_t number) const
{
    return this->root / std::to_string(number);
}

std::uint32_t ControlGroup::leader() const
{
    for (const auto &[number, process] : this->processes) {
        if (process->controlEngine().canAnswer()) {
            return number;
        }
    }
    return 0;
}

const ControlEngine &ControlGroup::engine(std::uint32_t number) const
{
    return this->processes.at(number)->controlEngine();
}

bool ControlGroup::hasThreeVoters() const
{
    const std::uint32_t number = this->leader();
    return number != 0
           && this->engine(number).replica().replica()->configuration().voters.size() == 3;
}

bool ControlGroup::waitFor(const std::function<bool()> &condition, Milliseconds timeout)
{
    const TimePoint end = this->loop.now() + timeout;
    while (!condition() && this->loop.now() < end) {
        this->loop.wait(rpcDelay(this->loop, { 5 }));
    }
    return condition();
}

std::vector<HostAddress> ControlGroup::rpcAddresses() const
{
    std::vector<HostAddress> addresses;
    for (const MemberSettings &member : this->settings(1).members) {
        addresses.push_back(member.rpc);
    }
    return addresses;
}

std::vector<HostAddress> ControlGroup::operatorAddresses() const
{
    std::vector<HostAddress> addresses;
    for (const MemberSettings &member : this->settings(1).members) {
        addresses.push_back(member.operators);
    }
    return addresses;
}

} // namespace cassiaroad
