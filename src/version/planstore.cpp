#include "version/planstore.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr std::size_t maxProposedPlans = 64;
constexpr std::size_t maxCompletedPlans = 64;
constexpr std::size_t maxResults = 10000;
constexpr std::size_t maxRecordEntries = 20000;
constexpr GroupTime day = 24LL * 3600 * 1000;
constexpr GroupTime resultRetention = 7 * day;
constexpr GroupTime proposalRetention = day;
constexpr GroupTime minResultAge = day; // a more recent result is never removed for a new one

std::string describe(const ConfirmationId &id)
{
    return id.who + " number " + std::to_string(id.number);
}

bool matches(const RecordEntry &entry, const RecordQuery &query)
{
    if (!query.who.empty() && entry.who != query.who && entry.confirmation.who != query.who) {
        return false;
    }
    const auto contains = [&query](const std::string &text) {
        return text.find(query.text) != std::string::npos;
    };
    return query.text.empty() || contains(entry.who) || contains(entry.why)
           || contains(entry.intent) || contains(entry.confirmation.who);
}

} // namespace

void PlanStore::invalidatePlans(const std::string &cause)
{
    ++this->placement;
    this->lastCause = cause;
}

Plan PlanStore::create(Plan plan, GroupTime now, WallTime wallTime)
{
    plan.number = ++this->planCounter;
    plan.createdAt = now;
    plan.createdWallTime = wallTime;
    RecordEntry entry;
    entry.plan = plan.number;
    entry.who = plan.who;
    entry.why = plan.why;
    entry.intent = toString(plan.intent);
    entry.createdAt = now;
    entry.createdWallTime = wallTime;
    this->record.push_back(std::move(entry));
    if (this->record.size() > maxRecordEntries) {
        this->record.pop_front();
    }
    this->plans.emplace(plan.number, PlanEntry { plan, PlanState::Proposed, {}, {}, 0 });
    this->trimPlans();
    return plan;
}

void PlanStore::trimPlans()
{
    const auto trim = [this](PlanState state, std::size_t limit) {
        const auto isState = [state](const auto &item) { return item.second.state == state; };
        const auto count = std::count_if(this->plans.begin(), this->plans.end(), isState);
        if (static_cast<std::size_t>(count) > limit) {
            this->plans.erase(std::find_if(this->plans.begin(), this->plans.end(), isState));
        }
    };
    trim(PlanState::Proposed, maxProposedPlans);
    trim(PlanState::Completed, maxCompletedPlans);
}

Confirmation PlanStore::makeResult(const Confirm &command, ConfirmStatus status,
                                   std::string detail) const
{
    Confirmation result;
    result.id = command.id;
    result.plan = command.plan;
    result.status = status;
    result.detail = std::move(detail);
    return result;
}

Confirmation PlanStore::confirm(const Confirm &command, GroupTime now, WallTime wallTime,
                                bool &isNew)
{
    isNew = false;
    const auto stored = this->results.find(command.id);
    if (stored != this->results.end()) {
        if (stored->second.plan == command.plan) {
            return stored->second;
        }
        Confirmation reused = this->makeResult(command, ConfirmStatus::NumberReused,
                                               describe(command.id) + " was already given for plan "
                                                       + std::to_string(stored->second.plan));
        reused.plan = stored->second.plan;
        return reused;
    }
    const auto plan = this->plans.find(command.plan);
    if (plan == this->plans.end()) {
        return this->makeResult(command, ConfirmStatus::UnknownPlan,
                                "plan " + std::to_string(command.plan) + " does not exist");
    }
    if (!this->ensureResultCapacity(now)) {
        return this->makeResult(command, ConfirmStatus::TooMany, "too many confirmations are kept");
    }
    Confirmation result = plan->second.state == PlanState::Proposed
                                          && plan->second.plan.basis == this->placement
                                  ? this->accept(command, plan->second)
                                  : this->conflict(command, plan->second);
    result.confirmedAt = now;
    result.confirmedWallTime = wallTime;
    isNew = result.status == ConfirmStatus::Accepted;
    if (RecordEntry *entry = isNew ? this->recordOf(command.plan) : nullptr) {
        entry->confirmation = command.id;
        entry->confirmedAt = now;
        entry->confirmedWallTime = wallTime;
    }
    this->results.emplace(command.id, result);
    return result;
}

Confirmation PlanStore::accept(const Confirm &command, PlanEntry &entry)
{
    entry.state = PlanState::Confirmed;
    entry.confirmation = command.id;
    for (const PlannedMove &move : entry.plan.moves) {
        entry.remaining.insert(move.subject);
    }
    this->invalidatePlans("confirmation of " + describe(command.id));
    this->lastWinner = command.id;
    this->lastPlan = command.plan;
    this->lastWinnerPlacement = this->placement;
    return this->makeResult(command, ConfirmStatus::Accepted, "accepted");
}

Confirmation PlanStore::conflict(const Confirm &command, const PlanEntry &entry) const
{
    Confirmation result = this->makeResult(command, ConfirmStatus::Conflict, "");
    if (entry.state != PlanState::Proposed) {
        result.winner = entry.confirmation;
        result.detail = "plan " + std::to_string(command.plan) + " was already confirmed by "
                        + describe(entry.confirmation);
    } else if (entry.plan.basis < this->lastWinnerPlacement) {
        result.winner = this->lastWinner;
        result.detail = "plan " + std::to_string(this->lastPlan) + " was confirmed by "
                        + describe(this->lastWinner) + " instead";
    } else {
        result.detail = "the placement changed since the plan was made: " + this->lastCause;
    }
    return result;
}

bool PlanStore::ensureResultCapacity(GroupTime now)
{
    if (this->results.size() < maxResults) {
        return true;
    }
    const auto oldest = std::min_element(this->results.begin(), this->results.end(),
                                         [](const auto &a, const auto &b) {
                                             return a.second.confirmedAt < b.second.confirmedAt;
                                         });
    if (now - oldest->second.confirmedAt < minResultAge) {
        return false;
    }
    this->results.erase(oldest);
    return true;
}

void PlanStore::markStarted(PlanNumber plan, const std::vector<RouteSubject> &subjects,
                            Revision revision)
{
    const auto found = this->plans.find(plan);
    if (found == this->plans.end() || found->second.state == PlanState::Proposed) {
        return;
    }
    for (const RouteSubject &subject : subjects) {
        found->second.remaining.erase(subject);
    }
    found->second.startedRevision = revision;
}

bool PlanStore::markInForce(const MarkInForce &command, GroupTime now, WallTime wallTime)
{
    const auto found = this->plans.find(command.plan);
    if (found == this->plans.end() || found->second.state != PlanState::Confirmed) {
        return false;
    }
    found->second.state = PlanState::InForce;
    const auto result = this->results.find(found->second.confirmation);
    if (result != this->results.end()) {
        result->second.inForce = command.report;
    }
    if (RecordEntry *entry = this->recordOf(command.plan)) {
        entry->inForceAt = now;
        entry->inForceWallTime = wallTime;
    }
    return true;
}

bool PlanStore::markCompleted(PlanNumber plan, GroupTime now, WallTime wallTime)
{
    const auto found = this->plans.find(plan);
    if (found == this->plans.end() || found->second.state != PlanState::InForce) {
        return false;
    }
    found->second.state = PlanState::Completed;
    if (RecordEntry *entry = this->recordOf(plan)) {
        entry->completedAt = now;
        entry->completedWallTime = wallTime;
    }
    this->trimPlans();
    return true;
}

bool PlanStore::expire(GroupTime now)
{
    const std::size_t expiredPlans = std::erase_if(this->plans, [now](const auto &item) {
        return item.second.state == PlanState::Proposed
               && now - item.second.plan.createdAt >= proposalRetention;
    });
    const std::size_t expiredResults = std::erase_if(this->results, [now](const auto &item) {
        return now - item.second.confirmedAt >= resultRetention;
    });
    return expiredPlans + expiredResults > 0;
}

const PlanEntry *PlanStore::find(PlanNumber plan) const
{
    const auto found = this->plans.find(plan);
    return found == this->plans.end() ? nullptr : &found->second;
}

const Confirmation *PlanStore::result(const ConfirmationId &id) const
{
    const auto found = this->results.find(id);
    return found == this->results.end() ? nullptr : &found->second;
}

std::vector<PlanNumber> PlanStore::active() const
{
    std::vector<PlanNumber> numbers;
    for (const auto &[number, entry] : this->plans) {
        if (entry.state == PlanState::Confirmed || entry.state == PlanState::InForce) {
            numbers.push_back(number);
        }
    }
    return numbers;
}

std::vector<RecordEntry> PlanStore::search(const RecordQuery &query) const
{
    std::vector<RecordEntry> found;
    for (auto it = this->record.rbegin(); it != this->record.rend(); ++it) {
        if (found.size() == query.limit) {
            break;
        }
        if (matches(*it, query)) {
            found.push_back(*it);
        }
    }
    return found;
}

RecordEntry *PlanStore::recordOf(PlanNumber plan)
{
    const auto found = std::lower_bound(
            this->record.begin(), this->record.end(), plan,
            [](const RecordEntry &entry, PlanNumber number) { return entry.plan < number; });
    return found == this->record.end() || found->plan != plan ? nullptr : &*found;
}

} // namespace cassiaroad
