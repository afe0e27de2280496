#include "registry/leasecalllog.h"

namespace cassiaroad {

namespace {

/** Name of the event and how many of them are written, for each body and result of a call. */
struct EventKind
{
    const char *name;
    Event::Weight weight = Event::Weight::Important;
};

struct KindVisitor
{
    EventKind operator()(const GrantCall & /*grant*/, const LeaseCallAccepted & /*result*/) const
    {
        return { "lease_granted", Event::Weight::Sampled };
    }
    EventKind operator()(const ReleaseCall & /*call*/, const LeaseCallAccepted & /*result*/) const
    {
        return { "lease_released", Event::Weight::Important };
    }
    template <typename Body>
    EventKind operator()(const Body & /*body*/, const LeaseCallRefused & /*result*/) const
    {
        return { "lease_refused", Event::Weight::Important };
    }
    template <typename Body>
    EventKind operator()(const Body & /*body*/, const LeaseCallNotSent & /*result*/) const
    {
        return { "lease_call_not_sent", Event::Weight::Important };
    }
    template <typename Body>
    EventKind operator()(const Body & /*body*/, const LeaseCallBroken & /*result*/) const
    {
        return { "lease_call_broken", Event::Weight::Important };
    }
    template <typename Body>
    EventKind operator()(const Body & /*body*/, const LeaseCallTimedOut & /*result*/) const
    {
        return { "lease_call_timed_out", Event::Weight::Important };
    }
};

struct RangeVisitor
{
    KeyRange operator()(const GrantCall &grant) const { return grant.lease.range; }
    KeyRange operator()(const ReleaseCall &release) const { return release.range; }
};

struct FenceVisitor
{
    FencingToken operator()(const GrantCall &grant) const { return grant.lease.fence; }
    FencingToken operator()(const ReleaseCall &release) const { return release.fence; }
};

} // namespace

void logLeaseCall(EventLog &log, const EndedLeaseCall &ended, const LeaseCallResult &result,
                  TimePoint now)
{
    const LeaseCall &call = ended.call;
    const EventKind kind = std::visit(KindVisitor {}, call.body, result);
    if (!log.shouldWrite(kind.name, kind.weight)) {
        return;
    }
    const KeyRange range = std::visit(RangeVisitor {}, call.body);
    log.write({ kind.name,
                kind.weight,
                { { "upstream", call.upstream.id },
                  { "release", std::holds_alternative<ReleaseCall>(call.body) },
                  { "from", std::int64_t(range.from) },
                  { "to", std::int64_t(range.to) },
                  { "fence", std::int64_t(std::visit(FenceVisitor {}, call.body)) },
                  { "ms", (now - ended.sentAt).count } } });
}

} // namespace cassiaroad
