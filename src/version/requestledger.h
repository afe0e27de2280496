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

/** Answer of an upstream that is kept for repeated requests. */
struct StoredAnswer
{
    std::uint16_t status = 0;
    std::string contentType;
    std::string body; // at most 8 KiB
    bool truncated = false; // the answer was longer; body is empty

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

/** One run of an entry host. */
struct EntryHostId
{
    std::string name;
    std::uint64_t instance = 0;

    auto operator<=>(const EntryHostId &) const = default;
};

struct LedgerStarted
{
    std::uint64_t ticket = 0; // to be given to finish
    bool operator==(const LedgerStarted &) const = default;
};
struct LedgerInProgress
{
    bool operator==(const LedgerInProgress &) const = default;
};
struct LedgerUnknown
{
    bool operator==(const LedgerUnknown &) const = default;
};
struct LedgerMismatch
{
    bool operator==(const LedgerMismatch &) const = default;
};
struct LedgerFull
{
    bool operator==(const LedgerFull &) const = default;
};
struct LedgerNotRun
{
    bool operator==(const LedgerNotRun &) const = default;
};

using LedgerBeginResult = std::variant<LedgerStarted, LedgerInProgress, StoredAnswer, LedgerUnknown,
                                       LedgerMismatch, LedgerFull>;

/** How a request ended: with an answer, with unknown outcome, or not run. */
using LedgerOutcome = std::variant<StoredAnswer, LedgerUnknown, LedgerNotRun>;

enum class LedgerFinishResult { Done, Superseded };

/** State of one record: in flight, answered, or unknown. */
using LedgerRecordState = std::variant<LedgerInProgress, StoredAnswer, LedgerUnknown>;

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
 * Keyed non-idempotent requests and their answers. A record that was started is never started
 * again, unless it was finished as not run or its retention has passed. Not thread-safe.
 */
class RequestLedger
{
public:
    /**
     * Starts a request or says how the earlier one stands. @p capacity bounds the records. A
     * repeated call with the same @p host and @p run (not 0) gives the ticket again, so that a lost
     * reply does not block the key; another run never gets the ticket of the first.
     */
    LedgerBeginResult begin(const LedgerKey &key, std::uint64_t digest, const EntryHostId &host,
                            GroupTime now, std::size_t capacity, std::uint64_t run = 0);

    /** Whether @p record is in flight for just this run of this entry host. */
    static bool isSameRun(const LedgerRecord &record, const EntryHostId &host, std::uint64_t run);

    /** Records the end of the request that holds @p ticket. */
    LedgerFinishResult finish(const LedgerKey &key, std::uint64_t ticket,
                              const LedgerOutcome &outcome);

    /** Resolves every record in flight of a lost entry host to unknown; returns their number. */
    std::size_t abandon(const EntryHostId &host);

    /**
     * Removes records older than @p retention, and resolves records in flight for longer than
     * an hour to unknown. Returns the number of records removed or resolved.
     */
    std::size_t expire(GroupTime now, Milliseconds retention);

    std::size_t size() const { return this->records.size(); }

    /** Entry hosts that have records in flight, with their number. */
    const std::map<EntryHostId, std::uint32_t> &hostsInFlight() const { return this->inFlight; }

    /** Returns a record, or nullptr. Valid until the next change. */
    const LedgerRecord *find(const LedgerKey &key) const;

    const std::map<LedgerKey, LedgerRecord> &all() const { return this->records; }
    std::uint64_t lastTicket() const { return this->ticketCounter; }

    /** Replaces the content, for restoring a snapshot. */
    void restore(std::map<LedgerKey, LedgerRecord> content, std::uint64_t ticket);

    bool operator==(const RequestLedger &other) const
    {
        return this->records == other.records && this->ticketCounter == other.ticketCounter;
    }

private:
    void leaveFlight(const EntryHostId &host);

    std::map<LedgerKey, LedgerRecord> records;
    std::map<EntryHostId, std::uint32_t> inFlight;
    std::map<std::uint64_t, LedgerKey> byTicket; // tickets rise with the start time
    std::uint64_t ticketCounter = 0;
};

} // namespace cassiaroad
