@0xd4a1f36b8c0e5927;
# Messages between the members of a control group, and the records in their logs and snapshots.
# Compile with: capnp compile -oc++ schema/replica.capnp

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cassiaroad::wire");

struct MemberId {
  number @0 :UInt32;
  incarnation @1 :UInt64;
}

struct MemberRun {
  member @0 :MemberId;
  startCounter @1 :UInt64;
  nonce @2 :UInt64;
}

struct Configuration {
  voters @0 :List(MemberId);
}

struct EntryPayload {
  union {
    noOp @0 :Void;
    command @1 :Data;
    configuration @2 :Configuration;
  }
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  payload @2 :EntryPayload;
}

struct SnapshotMeta {
  index @0 :UInt64;
  term @1 :UInt64;
  configuration @2 :Configuration;
}

struct HardState {
  term @0 :UInt64;
  voted @1 :Bool;
  vote @2 :MemberId;
  runs @3 :List(MemberRun);
  ownRuns @4 :List(MemberRun);
}

struct VoteRequest {
  term @0 :UInt64;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
  preVote @3 :Bool;
  transfer @4 :Bool;
}

struct VoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
  preVote @2 :Bool;
}

struct AppendRequest {
  term @0 :UInt64;
  prevIndex @1 :UInt64;
  prevTerm @2 :UInt64;
  commitIndex @3 :UInt64;
  sentAt @4 :Int64;
  runs @5 :List(MemberRun);
  entries @6 :List(LogEntry);
}

struct AppendReply {
  term @0 :UInt64;
  success @1 :Bool;
  matchIndex @2 :UInt64;
  rejectedIndex @3 :UInt64;
  hintIndex @4 :UInt64;
  hintTerm @5 :UInt64;
  sentAt @6 :Int64;
}

struct SnapshotChunk {
  term @0 :UInt64;
  meta @1 :SnapshotMeta;
  offset @2 :UInt64;
  total @3 :UInt64;
  data @4 :Data;
  sentAt @5 :Int64;
}

struct SnapshotReply {
  term @0 :UInt64;
  index @1 :UInt64;
  nextOffset @2 :UInt64;
  sentAt @3 :Int64;
}

struct TransferRequest {
  term @0 :UInt64;
}

struct StartReport {
  term @0 :UInt64;
  lastIndex @1 :UInt64;
  voter @2 :Bool;
  earlierRuns @3 :List(MemberRun);
}

enum StartVerdict {
  accepted @0;
  old @1;
  askLeader @2;
}

struct StartReply {
  run @0 :MemberRun;
  verdict @1 :StartVerdict;
  term @2 :UInt64;
  leader @3 :Bool;
  voter @4 :Bool;
  configuration @5 :SnapshotMeta;  # absent before it was added
}

struct ReplicaMessage {
  from @0 :MemberRun;
  to @1 :MemberId;
  body :union {
    voteRequest @2 :VoteRequest;
    voteReply @3 :VoteReply;
    appendRequest @4 :AppendRequest;
    appendReply @5 :AppendReply;
    snapshotChunk @6 :SnapshotChunk;
    snapshotReply @7 :SnapshotReply;
    transferRequest @8 :TransferRequest;
    startReport @9 :StartReport;
    startReply @10 :StartReply;
  }
}
