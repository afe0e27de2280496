#pragma once

#include "version/plan.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Response of an upstream, stored for repetitions of the request. */
struct StoredAnswer
{
    std::uint16_t status = 0;
    std::string contentType;
    std::string body; // at most 8 KiB
    bool truncated = false; // the response body was longer; `body` is empty

    bool operator==(const StoredAnswer &) const = default;
};

/** Identifies a keyed request. */
struct LedgerKey
{
    std::string service;
    std::string key;
    std::string idempotencyKey;

    auto operator<=>(const LedgerKey &) const = default;
};

/** One start of an entry host. */
struct EntryHostId
{
    std::string name;
    std::uint64_t instance = 0;

    auto operator<=>(const EntryHostId &) const = default;
};

/** The request was started, or this call repeats the one that started it. */
struct LedgerStarted
{
    std::uint64_t ticket = 0; // for RequestLedger::finish()
    bool operator==(const LedgerStarted &) const = default;
};
/** The request was started and has not ended. */
struct LedgerInProgress
{
    bool operator==(const LedgerInProgress &) const = default;
};
/** The request was started, and its outcome is unknown. */
struct LedgerUnknown
{
    bool operator==(const LedgerUnknown &) const = default;
};
/** Another request was started with the same key. */
struct LedgerMismatch
{
    bool operator==(const LedgerMismatch &) const = default;
};
/** The ledger has as many records as it may have. */
struct LedgerFull
{
    bool operator==(const LedgerFull &) const = default;
};
/** The request was certainly not run, so it may be started again. */
struct LedgerNotRun
{
    bool operator==(const LedgerNotRun &) const = default;
};

/** Result of RequestLedger::begin(): started now, state of the earlier request, or refused. */
using LedgerBeginResult = std::variant<LedgerStarted, LedgerInProgress, StoredAnswer, LedgerUnknown,
                                       LedgerMismatch, LedgerFull>;

/** How a request ended: with a response, with an unknown outcome, or not run. */
using LedgerOutcome = std::variant<StoredAnswer, LedgerUnknown, LedgerNotRun>;

/** Superseded: the record has another ticket or has ended already, so nothing was changed. */
enum class LedgerFinishResult { Done, Superseded };

/** State of a record: in flight, ended with a response, or ended with an unknown outcome. */
using LedgerRecordState = std::variant<LedgerInProgress, StoredAnswer, LedgerUnknown>;

/** A keyed request that was started. */
struct LedgerRecord
{
    std::uint64_t digest = 0; // of method, path and body
    std::uint64_t ticket = 0;
    EntryHostId host;
    std::uint64_t run = 0; // number of the request within the instance of the entry host, 0: none
    GroupTime startedAt = 0;
    LedgerRecordState state;

    bool operator==(const LedgerRecord &) const = default;
};

/**
 * Keyed non-idempotent requests and their outcomes. A request that was started is not started
 * again, unless it was finished as not run or its retention has passed. Not thread-safe.
 */
class RequestLedger
{
public:
    /**
     * Starts a request, or returns the state of the earlier one with the same key. @p capacity is
     * the upper bound of the number of records. A repeated call with the same @p host and @p run
     * (not 0) returns the same ticket while the request is in flight, so that a lost reply does not
     * block the key; another run never gets the ticket of the first.
     */
    LedgerBeginResult begin(const LedgerKey &key, std::uint64_t digest, const EntryHostId &host,
                            GroupTime now, std::size_t capacity, std::uint64_t run = 0);

    /** Whether @p record is in flight and was started with @p host and @p run, which is not 0. */
    static bool isSameRun(const LedgerRecord &record, const EntryHostId &host, std::uint64_t run);

    /** Records the outcome of the request that was started with @p ticket. */
    LedgerFinishResult finish(const LedgerKey &key, std::uint64_t ticket,
                              const LedgerOutcome &outcome);

    /**
     * Sets the outcome of each record in flight of @p host, which is unavailable, to unknown.
     * Returns their number.
     */
    std::size_t abandon(const EntryHostId &host);

    /**
     * Removes records older than @p retention, and sets the outcome of records that have been in
     * flight for an hour to unknown. Returns the number of records removed or changed.
     */
    std::size_t expire(GroupTime now, Milliseconds retention);

    std::size_t size() const { return this->records.size(); }

    /** Entry hosts that have records in flight, with their number. */
    const std::map<EntryHostId, std::uint32_t> &hostsInFlight() const { return this->inFlight; }

    /** Returns a record, or nullptr. Valid until the next change. */
    const LedgerRecord *find(const LedgerKey &key) const;

    const std::map<LedgerKey, LedgerRecord> &all() const { return this->records; }
    /** Highest ticket issued so far. */
    std::uint64_t lastTicket() const { return this->ticketCounter; }

    /** Replaces the content with that of a snapshot; @p ticket is its last ticket. */
    void restore(std::map<LedgerKey, LedgerRecord> content, std::uint64_t ticket);

    bool operator==(const RequestLedger &other) const
    {
        return this->records == other.records && this->ticketCounter == other.ticketCounter;
    }

private:
    void decrementInFlight(const EntryHostId &host);

    std::map<LedgerKey, LedgerRecord> records;
    std::map<EntryHostId, std::uint32_t> inFlight; // number of records in flight
    std::map<std::uint64_t, LedgerKey> byTicket; // tickets rise with the start time
    std::uint64_t ticketCounter = 0;
};

} // namespace cassiaroad
