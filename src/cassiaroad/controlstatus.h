#pragma once

#include "cassiaroad/controlengine.h"

#include <nlohmann/json.hpp>

namespace cassiaroad {

/** Returns the state of the group as operators see it. Loop thread only. */
nlohmann::json controlStatus(const ControlEngine &engine);

} // namespace cassiaroad
