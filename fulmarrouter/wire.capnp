@0xb8d6f6a3c7a4e51d;
# Frames between the processes of a deployment. Fields may be added, but never
# removed or renumbered.

struct Envelope {
  version @0 :UInt16;
  sender @1 :Text;
  body :union {
    ping @2 :Void;
    voteRequest @3 :VoteRequest;
    voteReply @4 :VoteReply;
    append @5 :Append;
    appendReply @6 :AppendReply;
    snapshotChunk @7 :SnapshotChunk;
    snapshotReply @8 :SnapshotReply;
    transferLeadership @9 :TransferLeadership;
    call @10 :Call;
    reply @11 :Call;
  }
}

struct VoteRequest {
  term @0 :UInt64;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
  pre @3 :Bool;
}

struct VoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
  pre @2 :Bool;
}

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  data @3 :Data;
}

struct Append {
  term @0 :UInt64;
  prevIndex @1 :UInt64;
  prevTerm @2 :UInt64;
  commit @3 :UInt64;
  round @4 :UInt64;
  entries @5 :List(Entry);
}

struct AppendReply {
  term @0 :UInt64;
  success @1 :Bool;
  matchIndex @2 :UInt64;
  round @3 :UInt64;
  blank @4 :Bool;
  prevIndex @5 :UInt64;
}

struct KeeperAddress {
  keeper @0 :Text;
  host @1 :Text;
  port @2 :UInt16;
}

struct SnapshotChunk {
  term @0 :UInt64;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
  voters @3 :List(KeeperAddress);
  learners @4 :List(KeeperAddress);
  offset @5 :UInt64;
  data @6 :Data;
  done @7 :Bool;
  toLearner @8 :Bool;
  round @9 :UInt64;
}

struct SnapshotReply {
  term @0 :UInt64;
  lastIndex @1 :UInt64;
  offset @2 :UInt64;
  done @3 :Bool;
  round @4 :UInt64;
}

struct TransferLeadership {
  term @0 :UInt64;
}

# A request from an entry to a keeper, or the reply to it. The payload is one
# encoded request or reply, tagged with its type.
struct Call {
  id @0 :UInt64;
  payload @1 :Data;
}
