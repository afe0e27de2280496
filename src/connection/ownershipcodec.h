#pragma once

#include "schema/cassiaroad.capnp.h"
#include "version/ownershipevent.h"

#include <string>

namespace cassiaroad {

/** Decodes the RPC calls of entry hosts into events; `call` stays 0. Thread-safe. */
WatchRequested decode(rpc::WatchRequest::Reader reader);
AnnounceRequested decode(rpc::AnnounceRequest::Reader reader);
BeginRequested decode(rpc::BeginRequest::Reader reader);
FinishRequested decode(rpc::FinishRequest::Reader reader);

/** Encodes the replies to RPC calls of entry hosts. Thread-safe. */
void encode(const ReplyWatch &reply, const std::string &group, rpc::WatchReply::Builder builder);
void encode(const ReplyAnnounce &reply, rpc::AnnounceReply::Builder builder);
void encode(const ReplyBegin &reply, rpc::BeginReply::Builder builder);
void encode(const ReplyFinish &reply, rpc::FinishReply::Builder builder);

} // namespace cassiaroad
