#pragma once

#include "cassiaroad/ownersender.h"

#include <map>
#include <string>

namespace cassiaroad {

/** Settings of an entry host with the overrides of its control group. Immutable. */
class EffectiveSettings
{
public:
    /** @p overrides as in the route table: setting name to value. */
    EffectiveSettings(const Settings &settings,
                      const std::map<std::string, std::string> &overrides);

    const SenderSettings &sender() const { return this->senderSettings; }
    Milliseconds defaultDeadline() const { return this->deadline; }
    Milliseconds poolIdleTimeout() const { return this->idle; }

private:
    SenderSettings senderSettings;
    Milliseconds deadline;
    Milliseconds idle;
};

} // namespace cassiaroad
