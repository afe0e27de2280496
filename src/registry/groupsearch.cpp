#include "registry/groupsearch.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr Milliseconds searchInterval { 200 };
constexpr Milliseconds connectTimeout { 1500 };

} // namespace

GroupSearch::GroupSearch(EventLoop &loop, const SiteSettings &settings, EventLog &log,
                         Handlers handlers)
    : loop(loop)
    , settings(settings)
    , log(log)
    , handlers(std::move(handlers))
    , bytes(std::make_shared<ByteCounters>())
    , tasks(*this)
{ }

GroupSearch::~GroupSearch() = default;

void GroupSearch::start(const std::vector<std::string> &seeds, bool canBootstrapGroup)
{
    const TimePoint now = this->loop.now();
    this->finder = std::make_unique<SlotFinder>(this->settings.ip, seeds, canBootstrapGroup, now);
    this->report.begin(now);
    this->timer = this->loop.callEvery(searchInterval, [this] { this->queryAll(); });
    this->log.write(
            { "group_search", Event::Weight::Always, { { "may_found", canBootstrapGroup } } });
    if (canBootstrapGroup && this->finder->targets(now).empty()) {
        this->onHint(this->settings.ip, {});
    }
}

void GroupSearch::setSeeds(const std::vector<std::string> &seeds)
{
    if (this->finder) {
        this->finder->setSeeds(seeds);
    }
}

void GroupSearch::onCall(const MemberCall &call)
{
    if (this->finder && this->finder->onCall(call.ip)) {
        this->log.write({ "group_call",
                          Event::Weight::Always,
                          { { "ip", call.ip }, { "slot", std::int64_t(call.slot) } } });
    }
}

void GroupSearch::queryAll()
{
    // onHint() may end the search and change the targets.
    const std::vector<std::string> targets = this->finder->targets(this->loop.now());
    std::erase_if(this->queried, [&targets](const auto &known) {
        return std::find(targets.begin(), targets.end(), known.first) == targets.end();
    });
    for (const std::string &ip : targets) {
        this->query(ip);
    }
    if (this->report.takeDue(this->loop.now())) {
        this->writeReport();
    }
}

void GroupSearch::query(const std::string &ip)
{
    auto &connection = this->queried[ip];
    if (!connection) {
        connection = std::make_unique<RpcConnection>(
                this->loop, HostAddress { ip, this->settings.internalPort }, connectTimeout,
                this->bytes);
    }
    this->report.recordQuestion(ip);
    const auto &role = std::get<RegistrySettings>(this->settings.role);
    const std::string request = encode(JoinRequest { this->settings.ip, role.canBecomeVoter });
    this->tasks.add(callJoin(*connection, request)
                            .then([this, ip](const GroupHint &hint) { this->onHint(ip, hint); },
                                  [this, ip](const kj::Exception &exception) {
                                      this->report.recordFailure(ip,
                                                                 exception.getDescription().cStr());
                                  }));
}

void GroupSearch::onHint(const std::string &ip, const GroupHint &hint)
{
    if (!this->finder) {
        return;
    }
    this->report.recordAnswer(ip, hint);
    this->handlers.hint(hint);
    const std::optional<StartMember> start = this->finder->onHint(ip, hint);
    if (!start) {
        return;
    }
    this->writeReport();
    this->finder.reset();
    this->timer = EventLoop::Timer();
    this->handlers.found(*start);
}

void GroupSearch::writeReport()
{
    this->log.write({ "group_search_answers",
                      Event::Weight::Always,
                      { { "waited_ms", this->report.duration(this->loop.now()).count },
                        { "answers", this->report.text() } } });
}

void GroupSearch::taskFailed(kj::Exception &&exception)
{
    this->log.write({ "group_search_failed",
                      Event::Weight::Important,
                      { { "reason", exception.getDescription().cStr() } } });
}

} // namespace cassiaroad
