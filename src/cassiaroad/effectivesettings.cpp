#include "cassiaroad/effectivesettings.h"

#include "version/settingoverrides.h"

namespace cassiaroad {

namespace {

// Complete responses are buffered in memory, like request bodies; their size limit is this many
// times that of request bodies.
constexpr std::size_t maxResponseFactor = 4;
// Limit of the requests that wait for an owner, as a multiple of the queue length of one upstream.
constexpr std::size_t maxWaitingFactor = 4;

} // namespace

EffectiveSettings::EffectiveSettings(const Settings &settings,
                                     const std::map<std::string, std::string> &overrides)
{
    const auto number = [&](const char *name, std::int64_t fallback) {
        return static_cast<std::int64_t>(
                SettingOverrides::number(overrides, name, static_cast<double>(fallback)));
    };
    const LimitSettings &limits = settings.limits;
    const TimingSettings &timing = settings.timing;
    DispatcherSettings &upstreamDispatcher = this->senderSettings.upstreamDispatcher;
    upstreamDispatcher.queueLength
            = static_cast<std::uint32_t>(number("limits.queue-length", limits.queueLength));
    upstreamDispatcher.queueTimeout = { number("limits.queue-time-ms", limits.queueTimeout.count) };
    upstreamDispatcher.silenceTimeout
            = { number("timing.silence-ms", timing.silenceTimeout.count) };
    this->senderSettings.maxWaitingForOwner = maxWaitingFactor * upstreamDispatcher.queueLength;
    this->senderSettings.maxResponseBytes = maxResponseFactor * limits.maxBodyKib * 1024;
    this->senderSettings.retryPercent
            = static_cast<std::uint32_t>(number("limits.retry-percent", limits.retryPercent));
    this->deadline = { number("timing.default-deadline-ms", timing.defaultDeadline.count) };
    this->idleTimeout = { number("timing.pool-idle-ms", timing.poolIdleTimeout.count) };
}

} // namespace cassiaroad
