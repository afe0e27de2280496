#pragma once

#include "cassiaroad/entryrequest.h"
#include "schema/cassiaroad.capnp.h"
#include "version/requestledger.h"

namespace cassiaroad {

/** Decodes the ledger's reply to begin. Precondition: the reply is not notLeader. Thread-safe. */
LedgerBeginResult decodeBegin(rpc::BeginReply::Reader reply);

/** Encodes the outcome of a request for a finish call. Thread-safe. */
void encodeOutcome(const LedgerOutcome &outcome, rpc::FinishRequest::Builder builder);

/**
 * Returns what the ledger stores of the end of a request. Responses above 8 KiB are stored without
 * their body. Thread-safe.
 */
LedgerOutcome ledgerOutcome(const RequestEnd &end);

/** Returns the end of a repeated request: the stored response, marked as replayed. Thread-safe. */
RequestEnd replayed(const StoredAnswer &answer);

/**
 * Digest of method, path and body, to detect a different request with the same key. Thread-safe.
 */
std::uint64_t requestDigest(std::string_view method, std::string_view path, std::string_view body);

} // namespace cassiaroad
