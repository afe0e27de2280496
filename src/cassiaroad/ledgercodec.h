#pragma once

#include "cassiaroad/entryrequest.h"
#include "schema/cassiaroad.capnp.h"
#include "version/requestledger.h"

namespace cassiaroad {

/** Reads the ledger's reply to begin. Precondition: the reply is not notLeader. Thread-safe. */
LedgerBeginResult decodeBegin(rpc::BeginReply::Reader reply);

/** Writes the outcome of a request into a finish call. Thread-safe. */
void encodeOutcome(const LedgerOutcome &outcome, rpc::FinishRequest::Builder builder);

/** Returns what the ledger keeps of an end; answers above 8 KiB are kept without body. */
LedgerOutcome ledgerOutcome(const RequestEnd &end);

/** Returns the end that repeats a stored answer. Thread-safe. */
RequestEnd replayed(const StoredAnswer &answer);

/** Digest of method, path and body, to recognise another request with the same key. Thread-safe. */
std::uint64_t requestDigest(std::string_view method, std::string_view path, std::string_view body);

} // namespace cassiaroad
