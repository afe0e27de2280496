#include "request/routetablecache.h"

#include <algorithm>

namespace cassiaroad {

RouteTableCache::Result RouteTableCache::apply(const RouteDelta &delta, TimePoint sentAt,
                                               Milliseconds lease)
{
    if (delta.toRevision < this->current->revision()) {
        return Result::Refused;
    }
    const bool complete = delta.fromRevision == 0;
    if (!complete && delta.fromRevision != this->current->revision()) {
        this->needsComplete = true;
        return Result::Refused;
    }
    const bool changes = complete ? delta.toRevision > 0 : delta.toRevision > delta.fromRevision;
    this->leaseEnd = std::max(this->leaseEnd, sentAt + lease);
    this->needsComplete = false;
    if (!changes) {
        return Result::Unchanged;
    }
    this->current = this->current->apply(delta);
    return Result::Changed;
}

} // namespace cassiaroad
