#pragma once

#include "schema/cassiaroad.capnp.h"
#include "version/routetable.h"

namespace cassiaroad {

/** Encodes a change of the route table as an RPC message. Thread-safe. */
void encode(const RouteDelta &delta, rpc::RouteDelta::Builder builder);

/** Decodes a change of the route table from an RPC message. Thread-safe. */
RouteDelta decode(rpc::RouteDelta::Reader reader);

/** Encodes and decodes the parts of a route table. Thread-safe. */
void encode(const Upstream &upstream, rpc::Upstream::Builder builder);
Upstream decode(rpc::Upstream::Reader reader);

void encode(const Route &route, rpc::Route::Builder builder);
Route decode(rpc::Route::Reader reader);

} // namespace cassiaroad
