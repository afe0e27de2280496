@0xb7c1f0a95e2d4a11;
# RPC between entry hosts and control members.
# Compile with: capnp compile -oc++ schema/cassiaroad.capnp

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cassiaroad::rpc");

struct Upstream {
  service @0 :Text;
  name @1 :Text;
  zone @2 :Text;
  address @3 :Text;         # "ip:port"
  slots @4 :UInt32;
  connections @5 :UInt32;
  checksGrants @6 :Bool;
  instance @7 :Text;        # drawn by the upstream at each start
  draining @8 :Bool;
}

enum RouteState {
  unassigned @0;
  owned @1;
  releasing @2;
}

enum MoveReason {
  planned @0;
  loss @1;
}

struct Route {
  state @0 :RouteState;
  upstream @1 :Text;        # owner, or the owner that releases
  epoch @2 :UInt64;
  reason @3 :MoveReason;
}

struct ShardRoute {
  service @0 :Text;
  shard @1 :UInt32;
  route @2 :Route;
}

struct KeyRoute {
  service @0 :Text;
  key @1 :Text;
  route @2 :Route;
  removed @3 :Bool;
}

struct UpstreamRef {
  service @0 :Text;
  name @1 :Text;
}

struct NamedValue {
  name @0 :Text;
  value @1 :Text;
}

struct RouteDelta {
  fromRevision @0 :UInt64;  # 0: the delta is a complete table
  toRevision @1 :UInt64;
  upstreams @2 :List(Upstream);
  removedUpstreams @3 :List(UpstreamRef);
  shards @4 :List(ShardRoute);
  keys @5 :List(KeyRoute);
  settings @6 :List(NamedValue);
}

struct UpstreamHealth {
  # Requests of one entry host to one upstream since its previous watch call.
  service @0 :Text;
  name @1 :Text;
  requests @2 :UInt32;
  failures @3 :UInt32;      # connection failures and requests without progress
  shed @4 :UInt32;
}

struct ShardLoad {
  service @0 :Text;
  shard @1 :UInt32;
  requests @2 :UInt32;
}

struct KeyLoad {
  service @0 :Text;
  key @1 :Text;
  requests @2 :UInt32;
}

struct LeaderHint {
  member @0 :UInt32;        # 0: unknown
  address @1 :Text;         # RPC address "ip:port"
  operatorAddress @2 :Text; # HTTP address "ip:port"
}

struct WatchRequest {
  entryHost @0 :Text;
  zone @1 :Text;
  instance @2 :UInt64;      # drawn at each start of the entry host
  seenRevision @3 :UInt64;
  drainedRevision @4 :UInt64; # no request that was routed by an older revision is in flight on a shard that was released since
  health @5 :List(UpstreamHealth);
  shardLoad @6 :List(ShardLoad);
  keyLoad @7 :List(KeyLoad);
  stopping @8 :Bool;        # the entry host ends its session
}

struct WatchReply {
  union {
    notLeader @0 :LeaderHint;
    update :group {
      delta @1 :RouteDelta;
      leaseMs @2 :UInt32;   # counted from the moment the watch call was sent
      entryHosts @3 :UInt32; # number of entry hosts of the region with a valid lease
      group @4 :Text;
    }
  }
}

struct AnnounceRequest {
  upstream @0 :Upstream;
  heldGrants @1 :UInt64;    # version of the grants that the upstream has, 0: none
  released @2 :List(ShardRoute); # shards that the upstream has released, with the epoch in route.epoch
  releasedKeys @3 :List(KeyRoute);
  load @4 :Float64;         # utilization: share of the slots in use, 0 to 1
}

struct Grants {
  version @0 :UInt64;
  shards @1 :List(ShardRoute);   # owned or releasing
  keys @2 :List(KeyRoute);       # moved keys owned by this upstream
  movedAway @3 :List(KeyRoute);  # keys of granted shards that another upstream owns
}

struct AnnounceReply {
  union {
    notLeader @0 :LeaderHint;
    refused @1 :Text;
    accepted :group {
      leaseMs @2 :UInt32;   # counted from the moment the upstream sent its announcement
      unchanged @3 :Bool;   # heldGrants is the current version; grants is empty
      grants @4 :Grants;
    }
  }
}

struct StoredAnswer {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Data;            # at most 8 KiB
  truncated @3 :Bool;       # the response was longer; body is empty
}

struct BeginRequest {
  service @0 :Text;
  key @1 :Text;
  idempotencyKey @2 :Text;
  digest @3 :UInt64;        # of method, path and body
  entryHost @4 :Text;
  entryInstance @5 :UInt64;
  run @6 :UInt64;         # number of the request within the entry host's instance, from 1
}

struct BeginReply {
  union {
    notLeader @0 :LeaderHint;
    started @1 :UInt64;     # ticket, to be passed to finish
    inProgress @2 :Void;
    finished @3 :StoredAnswer;
    unknown @4 :Void;
    mismatch @5 :Void;
    full @6 :Void;
  }
}

struct FinishRequest {
  service @0 :Text;
  key @1 :Text;
  idempotencyKey @2 :Text;
  ticket @3 :UInt64;
  union {
    answer @4 :StoredAnswer;
    unknown @5 :Void;
    notRun @6 :Void;
  }
}

struct FinishReply {
  union {
    notLeader @0 :LeaderHint;
    done @1 :Void;
    superseded @2 :Void;    # the record already has another outcome
  }
}

interface Control {
  watch @0 (request :WatchRequest) -> (reply :WatchReply);
  announce @1 (request :AnnounceRequest) -> (reply :AnnounceReply);
  begin @2 (request :BeginRequest) -> (reply :BeginReply);
  finish @3 (request :FinishRequest) -> (reply :FinishReply);
}

interface ReplicaPeer {
  # Delivers a message of the replication protocol, encoded by process/replicacodec.h.
  # fromIp: address of the sending host; empty if the members have fixed addresses.
  deliver @0 (group :Text, fromMember :UInt32, message :Data, fromIp :Text) -> ();
}

interface Member extends(Control, ReplicaPeer) {
  # Interface of a control member at its RPC address.
}

interface Registry extends(ReplicaPeer) {
  # Interface of a member of a control group whose upstreams own key ranges. The parameters and
  # results are CBOR, encoded by version/sitewatch.h and version/permitcall.h.
  watch @0 (report :Data) -> (answer :Data);
  join @1 (request :Data) -> (hint :Data);
  permit @2 (request :Data) -> (reply :Data);
}
