#include "registry/commandlog.h"

#include "version/evacuationorder.h"

namespace cassiaroad {

namespace {

/** Writes the events of each kind of command. */
struct CommandWriter
{
    EventLog &log;
    PutOutcome outcome;
    const RegistryState &state;

    void operator()(const PutConfiguration &put) const
    {
        this->log.write({ "configuration",
                          Event::Weight::Always,
                          { { "version", std::int64_t(put.version) },
                            { "base", std::int64_t(put.base) },
                            { "accepted", this->outcome == PutOutcome::Accepted } } });
    }

    void operator()(const AssignSlot &assigned) const
    {
        this->log.write({ "slot_assigned",
                          Event::Weight::Important,
                          { { "slot", std::int64_t(assigned.slot) }, { "ip", assigned.ip } } });
    }

    void operator()(const RegisterSiteUpstream &added) const
    {
        this->log.write({ "upstream_registered",
                          Event::Weight::Important,
                          { { "upstream", added.upstream.incarnation.id },
                            { "born", added.upstream.incarnation.born },
                            { "service", added.upstream.service },
                            { "address", added.upstream.address.toString() } } });
    }

    void operator()(const SetUpstreamPhase &changed) const
    {
        this->log.write({ "upstream_leaving",
                          Event::Weight::Important,
                          { { "upstream", changed.incarnation.id },
                            { "gone", changed.phase == UpstreamPhase::Gone } } });
    }

    void operator()(const RemoveSiteUpstream &removed) const
    {
        this->log.write({ "upstream_removed",
                          Event::Weight::Important,
                          { { "upstream", removed.incarnation.id } } });
    }

    void operator()(const TransferRanges &transfer) const
    {
        for (const RangeTransfer &moved : transfer.transfers) {
            this->log.write({ "range_transferred",
                              Event::Weight::Important,
                              { { "service", transfer.service },
                                { "from", std::int64_t(moved.range.from) },
                                { "to", std::int64_t(moved.range.to) },
                                { "upstream", moved.to.id },
                                { "handover", !moved.handover.empty() } } });
        }
    }

    void operator()(const OrderEvacuation &ordered) const
    {
        const EvacuationScope scope = evacuationScope(ordered.order.zone, this->state);
        this->log.write({ "evacuation",
                          Event::Weight::Always,
                          { { "zone", ordered.order.zone },
                            { "started", ordered.order.started },
                            { "upstreams", std::int64_t(scope.upstreams) },
                            { "ranges", std::int64_t(scope.ranges) },
                            { "ids", scope.ids } } });
    }
};

} // namespace

void logCommand(EventLog &log, const RegistryCommand &command, PutOutcome outcome,
                const RegistryState &state)
{
    std::visit(CommandWriter { log, outcome, state }, command);
}

} // namespace cassiaroad
