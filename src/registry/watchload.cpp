#include "registry/watchload.h"

#include <utility>

namespace cassiaroad {

void WatchLoad::countReply(const GatewayUpdate &update)
{
    ++this->counts.replies;
    if (update.change) {
        ++(update.fromTag == 0 ? this->counts.fullTables : this->counts.changes);
        this->counts.changeBytes += static_cast<std::int64_t>(update.change->size());
    }
    if (update.document) {
        ++(update.documentBase == 0 ? this->counts.fullDocuments : this->counts.deltas);
        this->counts.documentBytes += static_cast<std::int64_t>(update.document->size());
    }
}

void WatchLoad::write(EventLog &log, const WorkMeter &meter, const Waiting &waiting)
{
    constexpr std::int64_t microsecondsPerMillisecond = 1000;
    const Counts taken = std::exchange(this->counts, {});
    log.write({ "watch_load",
                Event::Weight::Important,
                { { "calls", taken.calls },
                  { "replies", taken.replies },
                  { "waiting", static_cast<std::int64_t>(waiting.calls) },
                  { "changes", taken.changes },
                  { "full_tables", taken.fullTables },
                  { "change_bytes", taken.changeBytes },
                  { "deltas", taken.deltas },
                  { "full_documents", taken.fullDocuments },
                  { "document_bytes", taken.documentBytes },
                  { "tables", taken.tables },
                  { "heartbeats", taken.heartbeats },
                  { "proposals", static_cast<std::int64_t>(waiting.proposals) },
                  { "oldest_proposal_ms", waiting.oldestProposal.count } } });
    Event work { "loop_work", Event::Weight::Important, {} };
    const std::array<std::int64_t, workKinds> microseconds = this->takeWork(meter);
    for (std::size_t i = 0; i < workKinds; ++i) {
        work.fields.emplace_back(nameOf(static_cast<Work>(i)),
                                 microseconds[i] / microsecondsPerMillisecond);
    }
    log.write(work);
}

void WatchLoad::clear(const WorkMeter &meter)
{
    this->counts = {};
    this->takeWork(meter);
}

// Returns the time spent on each kind of work since the previous call, in microseconds.
std::array<std::int64_t, workKinds> WatchLoad::takeWork(const WorkMeter &meter)
{
    std::array<std::int64_t, workKinds> taken {};
    for (std::size_t i = 0; i < workKinds; ++i) {
        const std::int64_t total = meter.totalMicroseconds(static_cast<Work>(i));
        taken[i] = total - std::exchange(this->workBefore[i], total);
    }
    return taken;
}

} // namespace cassiaroad
