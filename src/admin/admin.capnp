# Admin RPC for operators. Every node serves it on its admin port, and a
# client may use any node.
@0xc3b1f5b6d7a94e21;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sycamorelb::admin::wire");

struct Outcome {
  # Result of a mutation.
  kind @0 :Kind;
  version @1 :UInt64;
  # Log offset of the record that decided the mutation; 0 if there is none.
  messages @2 :List(Text);
  # Reasons for a rejection, one per error.
  nodesInForce @3 :UInt32;
  nodesTotal @4 :UInt32;
  lagging @5 :List(Text);
  # Live nodes that have not applied the version yet.

  enum Kind {
    accepted @0;
    rejected @1;
    notAccepted @2;
    # The log did not store the record, so nothing has changed.
    unknown @3;
    # The result is unknown; ask for it again with the same request id.
  }
}

struct NodeStatus {
  id @0 :Text;
  zone @1 :Text;
  region @2 :Text;
  state @3 :Text;
  configPosition @4 :UInt64;
  upstreams @5 :List(UpstreamStatus);
  adminAddress @6 :Text;
}

struct UpstreamStatus {
  service @0 :Text;
  version @1 :Text;
  address @2 :Text;
  state @3 :Text;
  limit @4 :UInt32;
  inFlight @5 :UInt32;
  slots @6 :UInt32;
}

struct MoveStatus {
  id @0 :Text;
  service @1 :Text;
  from @2 :Text;
  to @3 :Text;
  phase @4 :Text;
  sharePpm @5 :UInt32;
  byMs @6 :Int64;
  reason @7 :Text;
  step @8 :UInt32;
}

struct ZoneStatus {
  id @0 :Text;
  region @1 :Text;
  inService @2 :Bool;
}

struct Status {
  node @0 :Text;
  configVersion @1 :UInt64;
  configPosition @2 :UInt64;
  nodes @3 :List(NodeStatus);
  moves @4 :List(MoveStatus);
  zones @5 :List(ZoneStatus);
}

struct MoveRequest {
  service @0 :Text;
  from @1 :Text;
  # Empty for the active version.
  to @2 :Text;
  byMs @3 :Int64;
  maxEarlySharePpm @4 :UInt32;
}

interface Gate {
  # Bootstrap capability of a connection. Returns Admin after mutual
  # authentication.
  challenge @0 (nonce :Data, client :Text)
    -> (nonce :Data, server :Text, keyId :UInt32, proof :Data);
  authenticate @1 (keyId :UInt32, proof :Data) -> (admin :Admin);
}

interface Admin {
  apply @0 (requestId :Text, declaration :Text, file :Text) -> (outcome :Outcome);
  startMove @1 (requestId :Text, move :MoveRequest) -> (outcome :Outcome);
  setZone @2 (requestId :Text, zone :Text, inService :Bool) -> (outcome :Outcome);
  outcome @3 (requestId :Text) -> (outcome :Outcome);
  # Result of an earlier request, and which nodes have applied it.
  status @4 () -> (status :Status);
  declaration @5 () -> (version :UInt64, text :Text);
  dump @6 () -> (json :Text);
  drain @7 () -> ();
  takeBackMove @8 (requestId :Text, service :Text) -> (outcome :Outcome);
  # Rolls back the running move of a service: all calls return to the old
  # version.
}
