@0xb7a1c9e84d2f6035;
# Protocol between nodes: packed datagrams over UDP, and RPC over TCP.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sycamorelb::inner::wire");

struct Upstream {
  service @0 :Text;
  version @1 :Text;
  address @2 :Text;
  slots @3 :UInt32;
  connections @4 :UInt32;
  state @5 :UInt16;
  limit @6 :UInt32;
  inFlight @7 :UInt32;
}

struct MemberUpdate {
  id @0 :Text;
  incarnation @1 :UInt64;
  innerAddress @2 :Text;
  peerAddress @3 :Text;
  callerAddress @4 :Text;
  adminAddress @5 :Text;
  zone @6 :Text;
  region @7 :Text;
  state @8 :UInt16;
  upstreams @9 :List(Upstream);
  revision @10 :UInt32;
  configPosition @11 :UInt64;
  deadForMs @12 :UInt32;
}

struct Brake {
  move @0 :Text;
  service @1 :Text;
  version @2 :Text;
  issuedAtMs @3 :Int64;
  reason @4 :Text;
  heldStatus @5 :UInt16;
}

struct ConfigMark {
  position @0 :UInt64;
  chainHash @1 :UInt64;
}

struct Record {
  offset @0 :UInt64;
  bytes @1 :Data;
}

struct Gossip {
  kind @0 :UInt16;
  sequence @1 :UInt64;
  fromIncarnation @2 :UInt64;
  target @3 :Text;
  targetAddress @4 :Text;
  position @5 :UInt64;
  chainHash @6 :UInt64;
  updates @7 :List(MemberUpdate);
  brakes @8 :List(Brake);
}

struct ConfigNotice {
  position @0 :UInt64;
  chainHash @1 :UInt64;
  version @2 :UInt64;
  basePosition @3 :UInt64;
  baseHash @4 :UInt64;
  records @5 :List(Record);
}

struct Datagram {
  from @0 :Text;
  sentAtMs @1 :Int64;
  union {
    gossip @2 :Gossip;
    configNotice @3 :ConfigNotice;
    evidence @4 :Data;
  }
}

struct FetchedRecords {
  outcome @0 :UInt16;
  records @1 :List(Record);
  config @2 :ConfigMark;
}

struct Exchange {
  digest @0 :List(UInt64);
  # Empty, or one hash for each bucket of the member table.
  updates @1 :List(MemberUpdate);
}

struct ClaimRequest {
  partition @0 :UInt32;
  keyHash @1 :UInt64;
  node @2 :Text;
  incarnation @3 :UInt64;
  attempt @4 :Text;
  atMs @5 :Int64;
  status @6 :UInt16;
}

struct ClaimVerdict {
  result @0 :UInt16;
  heldByNode @1 :Text;
  heldByIncarnation @2 :UInt64;
  heldByAttempt @3 :Text;
  reason @4 :Text;
  heldStatus @5 :UInt16;
}

interface Gate {
  # Bootstrap capability of a connection. Both sides prove that they hold a
  # shared key before the client receives a Peer.
  challenge @0 (nonce :Data, node :Text)
    -> (nonce :Data, node :Text, keyId :UInt32, proof :Data);
  authenticate @1 (keyId :UInt32, proof :Data) -> (peer :Peer);
}

interface StateSource {
  # An encoded state, which is read in chunks to keep messages small.
  read @0 (offset :UInt64) -> (bytes :Data);
}

interface Peer {
  fetchRecords @0 (mark :ConfigMark) -> (fetched :FetchedRecords);
  fetchState @1 () -> (size :UInt64, source :StateSource);
  exchangeMembers @2 (exchange :Exchange) -> (exchange :Exchange);
  claim @3 (batch :List(ClaimRequest)) -> (verdicts :List(ClaimVerdict));
  releaseClaim @4 (claim :ClaimRequest) -> ();
  evidence @5 (bytes :Data) -> ();
}
