#pragma once

#include "schema/cassiaroad.capnp.h"
#include "version/routetable.h"

namespace cassiaroad {

/** Writes @p delta into an RPC message. Thread-safe. */
void encode(const RouteDelta &delta, rpc::RouteDelta::Builder builder);

/** Reads a route table difference from an RPC message. Thread-safe. */
RouteDelta decode(rpc::RouteDelta::Reader reader);

void encode(const Upstream &upstream, rpc::Upstream::Builder builder);
Upstream decode(rpc::Upstream::Reader reader);

void encode(const Route &route, rpc::Route::Builder builder);
Route decode(rpc::Route::Reader reader);

} // namespace cassiaroad
