#include "registry/registryprocess.h"

#include "connection/metricsserver.h"
#include "connection/rpcserver.h"
#include "process/descriptorlimit.h"
#include "process/settingswatcher.h"
#include "process/siteprocess.h"
#include "registry/connectionlimits.h"
#include "registry/controlservice.h"
#include "registry/registryservice.h"

namespace cassiaroad {

namespace {

// How long a stopping leader waits for a successor. A leadership transfer takes one election
// without an election timeout.
constexpr Milliseconds leadershipTransferTimeout { 1000 };
constexpr Milliseconds leadershipCheckInterval { 20 };

/** The components of a control host, and how they start and stop. Loop thread only. */
class RegistryProcess
{
public:
    RegistryProcess(EventLoop &loop, const SiteSettings &settings, const std::string &settingsFile,
                    const ExternalCodec &codec)
        : loop(loop)
        , settings(settings)
        , log(settings.host)
        , engine(loop, settings, codec, this->metrics, this->log,
                 [this](const std::string &reason) { this->fail(reason); })
        , rpcServer(loop, this->limits.internal, kj::heap<RegistryService>(loop, this->engine))
        , control(loop, this->engine, codec, this->log, this->limits.control)
        , metricsServer(loop, this->metrics, [this] { this->updateMetrics(); })
        , watcher(loop, settingsFile, this->log, [this](const SiteSettings &changed) {
            this->engine.member().setSeeds(changed.seeds);
        })
    { }

    /** Opens the listeners and starts the engine. Returns an empty text, or why it failed. */
    std::string start();
    void stop();
    int exitStatus() const { return this->status; }

private:
    void waitForSuccessor();
    void finish();
    void fail(const std::string &reason);
    void updateMetrics();

    EventLoop &loop;
    const SiteSettings &settings;
    EventLog log;
    Metrics metrics;
    const RegistryListenerLimits limits = registryListenerLimits(descriptorLimit());
    RegistryEngine engine;
    RpcServer rpcServer;
    ControlService control;
    MetricsServer metricsServer;
    SettingsWatcher watcher;
    TimePoint stopDeadline;
    EventLoop::Timer stopTimer;
    int status = 0;
};

std::string RegistryProcess::start()
{
    logSlowIterations(this->loop, this->log);
    const auto &role = std::get<RegistrySettings>(this->settings.role);
    this->log.write({ "start",
                      Event::Weight::Always,
                      { { "role", std::string("registry") }, { "bootstrap", role.bootstrap } } });
    std::string reason
            = this->rpcServer.listen({ this->settings.bindIp, this->settings.internalPort });
    if (reason.empty()) {
        reason = this->control.listen(role.control, this->settings.bindIp);
    }
    if (reason.empty() && this->settings.metricsPort != 0) {
        reason = this->metricsServer.listen({ this->settings.bindIp, this->settings.metricsPort });
    }
    return reason.empty() ? this->engine.start() : reason;
}

void RegistryProcess::stop()
{
    this->log.write(
            { "stop", Event::Weight::Always, { { "leads", this->engine.member().isLeader() } } });
    this->stopDeadline = this->loop.now() + leadershipTransferTimeout;
    this->engine.member().stepDown();
    this->waitForSuccessor();
}

// Ends the process once another member is the leader, or when the time for that has passed.
void RegistryProcess::waitForSuccessor()
{
    const std::string leader = this->engine.member().leaderIp();
    const bool hasSuccessor = !leader.empty() && leader != this->settings.ip;
    if (hasSuccessor || this->loop.now() >= this->stopDeadline) {
        this->finish();
        return;
    }
    this->stopTimer
            = this->loop.callAfter(leadershipCheckInterval, [this] { this->waitForSuccessor(); });
}

void RegistryProcess::finish()
{
    this->log.write({ "stopped", Event::Weight::Always, {} });
    this->loop.stop();
}

void RegistryProcess::fail(const std::string &reason)
{
    this->log.write({ "failed", Event::Weight::Always, { { "reason", reason } } });
    this->status = 1;
    this->loop.stop();
}

void RegistryProcess::updateMetrics()
{
    this->metrics.gauge("cassiaroad_registry_leads", "1 if this host leads its group.")
            .Set(this->engine.member().isLeader() ? 1.0 : 0.0);
    this->metrics.gauge("cassiaroad_registry_votes", "1 if this host is a voter of its group.")
            .Set(this->engine.member().isVoter() ? 1.0 : 0.0);
    this->metrics.gauge("cassiaroad_registry_voters", "Voters of the group by this host's log.")
            .Set(static_cast<double>(this->engine.member().voterCount()));
    this->metrics
            .gauge("cassiaroad_registry_configuration",
                   "Version of the newest committed configuration that this host knows.")
            .Set(static_cast<double>(this->engine.configurationVersion()));
    this->metrics
            .gauge("cassiaroad_registry_control_connections",
                   "Open connections of upstreams and operators.")
            .Set(static_cast<double>(this->control.connectionCount()));
    this->metrics
            .gauge("cassiaroad_registry_control_connections_rejected",
                   "Connections of upstreams and operators that were closed when they opened, as "
                   "too many were open, since the start.")
            .Set(static_cast<double>(this->control.rejectedConnectionCount()));
    this->metrics
            .gauge("cassiaroad_registry_internal_connections",
                   "Open connections of gateways and control hosts.")
            .Set(static_cast<double>(this->rpcServer.connectionCount()));
    updateLogGauges(this->metrics, this->log);
    updateWorkGauges(this->metrics, this->loop.workMeter());
}

} // namespace

int runRegistryProcess(const SiteSettings &settings, const std::string &settingsFile,
                       const ExternalCodec &codec)
{
    EventLoop loop;
    RegistryProcess process(loop, settings, settingsFile, codec);
    return runUntilStopped(loop, process, settings.host) ? process.exitStatus() : 1;
}

} // namespace cassiaroad
