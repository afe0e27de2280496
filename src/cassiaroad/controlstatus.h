#pragma once

#include "cassiaroad/controlengine.h"

#include <nlohmann/json.hpp>

namespace cassiaroad {

/** Returns the state of the control group in the JSON form of GET /v1/status. Loop thread only. */
nlohmann::json controlStatus(const ControlEngine &engine);

} // namespace cassiaroad
