#include "version/routesubject.h"

namespace cassiaroad {

const std::string &serviceOf(const RouteSubject &subject)
{
    return std::visit([](const auto &ref) -> const std::string & { return ref.service; }, subject);
}

std::string toString(const RouteSubject &subject)
{
    if (const auto *shard = std::get_if<ShardRef>(&subject)) {
        return shard->service + "/shard/" + std::to_string(shard->shard);
    }
    const auto &key = std::get<KeyRef>(subject);
    return key.service + "/key/" + key.key;
}

} // namespace cassiaroad
