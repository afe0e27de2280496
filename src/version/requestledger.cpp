#include "version/requestledger.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// Without this bound, an entry host that runs but never finishes a request would keep its record in
// flight for ever.
constexpr GroupTime maxInFlight = 3600LL * 1000;

LedgerBeginResult toBeginResult(const LedgerRecordState &state)
{
    return std::visit([](const auto &value) -> LedgerBeginResult { return value; }, state);
}

} // namespace

LedgerBeginResult RequestLedger::begin(const LedgerKey &key, std::uint64_t digest,
                                       const EntryHostId &host, GroupTime now, std::size_t capacity,
                                       std::uint64_t run)
{
    const auto found = this->records.find(key);
    if (found != this->records.end()) {
        if (found->second.digest != digest) {
            return LedgerMismatch {};
        }
        if (isSameRun(found->second, host, run)) {
            return LedgerStarted { found->second.ticket };
        }
        return toBeginResult(found->second.state);
    }
    if (this->records.size() >= capacity) {
        return LedgerFull {};
    }
    const std::uint64_t ticket = ++this->ticketCounter;
    this->records.emplace(key,
                          LedgerRecord { digest, ticket, host, run, now, LedgerInProgress {} });
    this->byTicket.emplace(ticket, key);
    ++this->inFlight[host];
    return LedgerStarted { ticket };
}

bool RequestLedger::isSameRun(const LedgerRecord &record, const EntryHostId &host,
                              std::uint64_t run)
{
    return run != 0 && record.run == run && record.host == host
           && std::holds_alternative<LedgerInProgress>(record.state);
}

LedgerFinishResult RequestLedger::finish(const LedgerKey &key, std::uint64_t ticket,
                                         const LedgerOutcome &outcome)
{
    const auto found = this->records.find(key);
    if (found == this->records.end() || found->second.ticket != ticket
        || !std::holds_alternative<LedgerInProgress>(found->second.state)) {
        return LedgerFinishResult::Superseded;
    }
    this->decrementInFlight(found->second.host);
    if (std::holds_alternative<LedgerNotRun>(outcome)) {
        this->byTicket.erase(ticket);
        this->records.erase(found);
    } else if (const auto *answer = std::get_if<StoredAnswer>(&outcome)) {
        found->second.state = *answer;
    } else {
        found->second.state = LedgerUnknown {};
    }
    return LedgerFinishResult::Done;
}

std::size_t RequestLedger::abandon(const EntryHostId &host)
{
    if (!this->inFlight.contains(host)) {
        return 0;
    }
    std::size_t count = 0;
    for (auto &[key, record] : this->records) {
        if (record.host == host && std::holds_alternative<LedgerInProgress>(record.state)) {
            record.state = LedgerUnknown {};
            ++count;
        }
    }
    this->inFlight.erase(host);
    return count;
}

std::size_t RequestLedger::expire(GroupTime now, Milliseconds retention)
{
    std::size_t count = 0;
    for (auto it = this->byTicket.begin(); it != this->byTicket.end();) {
        const auto record = this->records.find(it->second);
        const GroupTime age = now - record->second.startedAt;
        if (age < std::min(maxInFlight, retention.count)) {
            break;
        }
        const bool wasInFlight = std::holds_alternative<LedgerInProgress>(record->second.state);
        if (wasInFlight) {
            this->decrementInFlight(record->second.host);
            record->second.state = LedgerUnknown {};
            ++count;
        }
        if (age < retention.count) {
            ++it;
            continue;
        }
        this->records.erase(record);
        it = this->byTicket.erase(it);
        count += wasInFlight ? 0 : 1;
    }
    return count;
}

const LedgerRecord *RequestLedger::find(const LedgerKey &key) const
{
    const auto found = this->records.find(key);
    return found == this->records.end() ? nullptr : &found->second;
}

void RequestLedger::restore(std::map<LedgerKey, LedgerRecord> content, std::uint64_t ticket)
{
    this->records = std::move(content);
    this->ticketCounter = ticket;
    this->byTicket.clear();
    this->inFlight.clear();
    for (const auto &[key, record] : this->records) {
        this->byTicket.emplace(record.ticket, key);
        if (std::holds_alternative<LedgerInProgress>(record.state)) {
            ++this->inFlight[record.host];
        }
    }
}

void RequestLedger::decrementInFlight(const EntryHostId &host)
{
    const auto found = this->inFlight.find(host);
    if (found != this->inFlight.end() && --found->second == 0) {
        this->inFlight.erase(found);
    }
}

} // namespace cassiaroad
