#include "cassiaroad/effectivesettings.h"

#include "version/settingoverrides.h"

namespace cassiaroad {

namespace {

// Answers are held in memory as a whole, like bodies.
constexpr std::size_t answerBodies = 4;
constexpr std::size_t heldPerQueue = 4;

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
    GateSettings &gate = this->senderSettings.gate;
    gate.queueLength
            = static_cast<std::uint32_t>(number("limits.queue-length", limits.queueLength));
    gate.queueTimeout = { number("limits.queue-time-ms", limits.queueTimeout.count) };
    gate.silenceTimeout = { number("timing.silence-ms", timing.silenceTimeout.count) };
    this->senderSettings.maxHeld = heldPerQueue * gate.queueLength;
    this->senderSettings.maxResponseBytes = answerBodies * limits.maxBodyKib * 1024;
    this->senderSettings.retryPercent
            = static_cast<std::uint32_t>(number("limits.retry-percent", limits.retryPercent));
    this->deadline = { number("timing.default-deadline-ms", timing.defaultDeadline.count) };
    this->idle = { number("timing.pool-idle-ms", timing.poolIdleTimeout.count) };
}

} // namespace cassiaroad
