#include "cassiaroad/controlprocess.h"

#include "process/log.h"

#include <csignal>

namespace cassiaroad {

namespace {

const Log controlLog("control");

// A transfer takes one election without an election timeout; one second also covers a lost message.
constexpr Milliseconds leadershipTransferTimeout { 1000 };
constexpr Milliseconds leadershipCheckInterval { 20 };

const MemberSettings &ownMember(const Settings &settings)
{
    const std::uint32_t number = std::get<ControlSettings>(settings.role).member;
    for (const MemberSettings &member : settings.members) {
        if (member.number == number) {
            return member;
        }
    }
    KJ_FAIL_REQUIRE("the settings do not list this member");
}

} // namespace

ControlProcess::ControlProcess(EventLoop &loop, const Settings &settings,
                               std::function<void(const std::string &reason)> ended)
    : loop(loop)
    , settings(settings)
    , ended(std::move(ended))
    , engine(loop, settings, this->metrics,
             [this](const std::string &reason) { this->finish(reason); })
    , rpcServer(loop, {}, kj::heap<MemberService>(this->engine))
    , operatorService(loop, this->engine, this->metrics,
                      std::get<ControlSettings>(settings.role).operatorToken)
{ }

ControlProcess::~ControlProcess() = default;

std::string ControlProcess::start(bool bootstrap)
{
    const MemberSettings &member = ownMember(this->settings);
    std::string reason = this->rpcServer.listen(member.rpc);
    if (reason.empty()) {
        reason = this->operatorService.listen(member.operators);
    }
    if (reason.empty()) {
        reason = this->engine.start(bootstrap);
    }
    if (reason.empty()) {
        controlLog.info("member " + std::to_string(member.number) + " of group "
                        + this->settings.group + " serves members and entry hosts on "
                        + member.rpc.toString() + ", operators on " + member.operators.toString());
    }
    return reason;
}

void ControlProcess::stop()
{
    controlLog.info("stops; transfers leadership to another member");
    this->stopDeadline = this->loop.now() + leadershipTransferTimeout;
    this->engine.stepDown();
    this->waitForSuccessor();
}

void ControlProcess::waitForSuccessor()
{
    // The request to become leader may still be in transit when this member stops being the leader,
    // so the process ends only when it knows its successor.
    const MemberSettings *leader = this->engine.leader();
    const bool hasSuccessor
            = leader != nullptr && leader->number != ownMember(this->settings).number;
    if (hasSuccessor || this->loop.now() >= this->stopDeadline) {
        this->finish({});
        return;
    }
    this->stopTimer
            = this->loop.callAfter(leadershipCheckInterval, [this] { this->waitForSuccessor(); });
}

void ControlProcess::finish(const std::string &reason)
{
    // The callback may destroy this object, so it is called from the event loop.
    this->endTimer = this->loop.callAfter({}, [ended = this->ended, reason] { ended(reason); });
}

int runControlProcess(const Settings &settings, bool bootstrap)
{
    EventLoop loop;
    int status = 0;
    ControlProcess process(loop, settings, [&](const std::string &reason) {
        if (!reason.empty()) {
            controlLog.error(reason);
            status = 1;
        }
        loop.stop();
    });
    const std::string reason = process.start(bootstrap);
    if (!reason.empty()) {
        controlLog.error("cannot start: " + reason);
        return 1;
    }
    loop.onSignal(SIGTERM, [&process] { process.stop(); });
    loop.onSignal(SIGINT, [&process] { process.stop(); });
    loop.run();
    controlLog.info("ended");
    return status;
}

} // namespace cassiaroad
