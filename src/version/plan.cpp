#include "version/plan.h"

namespace cassiaroad {

namespace {

std::string describe(const DrainUpstream &intent)
{
    return "drain " + intent.upstream.service + "/" + intent.upstream.name;
}

std::string describe(const ReturnUpstream &intent)
{
    return "return " + intent.upstream.service + "/" + intent.upstream.name;
}

std::string describe(const MoveKey &intent)
{
    return "move-key " + intent.key.service + "/" + intent.key.key + " " + intent.to;
}

std::string describe(const ZoneOut &intent)
{
    return "zone-out " + intent.zone;
}

std::string describe(const ZoneIn &intent)
{
    return "zone-in " + intent.zone;
}

std::string describe(const SetSetting &intent)
{
    return "set " + intent.name + " " + intent.value;
}

std::string describe(const Rebalance &intent)
{
    return "rebalance " + intent.service;
}

} // namespace

std::string toString(const Intent &intent)
{
    return std::visit([](const auto &value) { return describe(value); }, intent);
}

} // namespace cassiaroad
