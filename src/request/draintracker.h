#pragma once

#include "request/admissionqueue.h"
#include "request/router.h"

#include <map>
#include <optional>
#include <vector>

namespace cassiaroad {

/**
 * Tracks the requests in flight to owners, and the drained revision: none of the requests is at an
 * owner that had lost its shard or key by that revision. Pure; not thread-safe.
 */
class DrainTracker
{
public:
    /** A request was written to @p owner. */
    void start(RequestId id, const Target &target, const Owner &owner);

    /** A request ended. Does nothing for an unknown one. */
    void finish(RequestId id);

    /**
     * Compares all requests with a new table. Returns those whose owner is unavailable; their
     * callers must not wait for it any longer. Requests of an owner that is replaced by plan
     * continue.
     */
    std::vector<RequestId> update(const RouteTable &table);

    /** Revision to report as drained when the table of revision @p seen is in effect. */
    Revision drainedRevision(Revision seen) const;

    std::size_t size() const { return this->requests.size(); }

private:
    struct Entry
    {
        Target target;
        Owner owner;
        std::optional<Revision> outdatedSince; // first revision seen without this owner
    };

    std::map<RequestId, Entry> requests;
};

} // namespace cassiaroad
