#pragma once

#include "request/admissionqueue.h"
#include "request/router.h"

#include <map>
#include <optional>
#include <vector>

namespace cassiaroad {

/**
 * Requests in flight to owners, and the revision up to which none of them belongs to an owner that
 * has lost its shard or key since. Pure; not thread-safe.
 */
class DrainTracker
{
public:
    /** A request was written to @p owner. */
    void start(RequestId id, const Target &target, const Owner &owner);

    /** A request ended. Does nothing for an unknown one. */
    void finish(RequestId id);

    /**
     * Compares all requests with a new table. Returns those whose owner was lost; their callers
     * must not wait for it any longer. Requests of an owner that leaves by plan go on.
     */
    std::vector<RequestId> update(const RouteTable &table);

    /** Revision to report as drained when @p seen is in force. */
    Revision drainedRevision(Revision seen) const;

    std::size_t size() const { return this->requests.size(); }

private:
    struct Entry
    {
        Target target;
        Owner owner;
        std::optional<Revision> outdatedSince; // first revision at which the owner was no owner
    };

    std::map<RequestId, Entry> requests;
};

} // namespace cassiaroad
