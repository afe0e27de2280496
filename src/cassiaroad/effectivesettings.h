#pragma once

#include "cassiaroad/ownersender.h"

#include <map>
#include <string>

namespace cassiaroad {

/** Settings of an entry host after the overrides of its control group are applied. Immutable. */
class EffectiveSettings
{
public:
    /** @p overrides maps names of settings to values, as in the route table. */
    EffectiveSettings(const Settings &settings,
                      const std::map<std::string, std::string> &overrides);

    const SenderSettings &sender() const { return this->senderSettings; }
    Milliseconds defaultDeadline() const { return this->deadline; }
    Milliseconds poolIdleTimeout() const { return this->idleTimeout; }

private:
    SenderSettings senderSettings;
    Milliseconds deadline;
    Milliseconds idleTimeout;
};

} // namespace cassiaroad
