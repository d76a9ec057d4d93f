@0xd3a5b1c07e624f98;
# Messages between the nodes of the mesh, over TCP with a length prefix and in
# records of the store.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sycamorelb::inner::mesh_wire");

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Load {
  running @0 :UInt32;
  queued @1 :UInt32;
  slots @2 :UInt32;
  meanRunMicros @3 :UInt32;
  failurePpm @4 :UInt32;
  cold @5 :Bool;
  linkKbps @6 :UInt32;
  linkBusyPpm @7 :UInt32;
  bulkPpm @8 :UInt32;       # Share of large requests that the link can carry.
  waitMicros @9 :UInt32;    # Expected queueing time of another call.
  startGapMicros @10 :UInt32; # Mean time between call starts that are rate-limited; 0 for no limit.
  concurrency @11 :UInt32;  # Calls that the target takes well at once, as measured; 0 if unknown.
  workPercent @12 :UInt32;  # Work time on the target's host now, in percent of usual; 0 if unknown.
}

struct TargetNotice {
  target @0 :Text;
  bornAt @1 :Int64;
  limited @2 :Bool;
  callsPerSecond @3 :Float64; # With limited: what the target takes from all hosts together.
  leaving @4 :Bool;
}

struct Forward {
  call @0 :UInt64;          # Number of the attempt, unique within the sending process.
  service @1 :Text;
  route @2 :Text;
  method @3 :Text;
  target @4 :Text;
  headers @5 :List(Header);
  body @6 :Data;
  hasBody @7 :Bool;
  kind @8 :UInt16;
  priority @9 :UInt32;
  onTimeMicros @10 :Int64;  # Time left to start so that the answer is on time.
  startMicros @11 :Int64;   # Time left to start at all.
  leftMicros @12 :Int64;    # Time left until the deadline of the caller.
  callerService @13 :Text;
  version @14 :Text;        # Expected version of the target.
  notice @15 :TargetNotice; # What the sender knows from answers of the target.
  coldCallsPerSecond @16 :Float64 = -1; # Configured limit of a cold target, 0 for none; -1 if not told.
  customer @17 :Text;       # Customer that makes the call; empty for none.
}

struct Reply {
  call @0 :UInt64;
  outcome @1 :UInt16;
  arrived @2 :Bool;         # Whether the target may have received the call.
  status @3 :UInt32;
  headers @4 :List(Header);
  body @5 :Data;
  reason @6 :Text;
  load @7 :Load;
  runMicros @8 :UInt32;
  routeMeanMicros @9 :UInt32;
  notice @10 :TargetNotice; # What the target says of itself.
}

struct Resume {
  call @0 :UInt64;
  ageMicros @1 :Int64;      # Time since the call was sent.
  process @2 :UInt64;       # Process that the call was sent to; 0 if unknown.
}

struct Host {
  node @0 :Text;
  peer @1 :Text;
  zone @2 :Text;
  incarnation @3 :UInt64;
  revision @4 :UInt64;
  storeLost @5 :Bool;
  leaving @6 :Bool;
  targetId @7 :Text;
  bornAt @8 :Int64;
  service @9 :Text;
  version @10 :Text;
  slots @11 :UInt32;
  state @12 :UInt16;
  capable @13 :Bool;        # Has the CPU and bandwidth to read the store for others.
  compression @14 :UInt32;  # Dictionary of the compressed messages that it reads; 0 for none.
  process @15 :UInt64;      # Random number of the process that wrote the record.
}

struct OperatorRecord {
  key @0 :Text;
  offset @1 :UInt64;
  dropped @2 :Bool;
  value @3 :Data;
  baseAfter @4 :UInt64;     # If not 0, value is a delta against the record at baseAfter - 1.
  compressed @5 :Bool;
  era @6 :UInt64;           # Era of the store in which offset was assigned; 0 if unknown.
}

struct Revision {
  node @0 :Text;
  incarnation @1 :UInt64;
  revision @2 :UInt64;
}

struct Rollout {
  service @0 :Text;
  orderOffset @1 :UInt64;
  version @2 :Text;
  stage @3 :UInt16;
  elapsedMicros @4 :Int64;  # Time since the sender saw the order.
  era @5 :UInt64;           # Era of the store to which orderOffset belongs.
  storedEra @6 :UInt64;     # Newest position of the order; 0 without eras.
  storedOffset @7 :UInt64;
  durationMillis @8 :Int64; # Duration of the order; 0 if unknown or without eras.
}

struct Tally {
  route @0 :Text;
  calls @1 :UInt32;
  failures @2 :UInt32;
  timed @3 :UInt32;
  runMicros @4 :UInt64;
}

struct Evidence {
  node @0 :Text;
  service @1 :Text;
  orderOffset @2 :UInt64;
  version @3 :Text;
  tallies @4 :List(Tally);
  incarnation @5 :UInt64;   # Of the process that counted.
  targetStart @6 :UInt64;   # Number of the target among those of that process.
  process @7 :UInt64;       # Random number of the process that counted.
  orderEra @8 :UInt64;      # Era of the store to which orderOffset belongs.
}

struct CustomerCalls {
  customer @0 :Text;
  calls @1 :UInt32;
}

struct UsageCounts {
  node @0 :Text;
  process @1 :UInt64;       # Process that counted.
  window @2 :Int64;         # Number of the usage window.
  counts @3 :List(CustomerCalls);
  final @4 :Bool;           # The window is over for this process.
}

struct UsageHolder {
  node @0 :Text;
  process @1 :UInt64;
  token @2 :UInt64;         # Fencing token of its calls.
  era @3 :UInt64;           # Era of the store in which it was recorded.
  window @4 :Int64;         # Last window that it recorded; -1 for none.
}

struct Gossip {
  sender @0 :Host;
  operatorEnd @1 :UInt64;
  hostDigest @2 :UInt64;
  hosts @3 :List(Host);
  records @4 :List(OperatorRecord);
  rollouts @5 :List(Rollout);
  wantHosts @6 :Bool;       # Requests all host records.
  wantRecords @7 :Bool;     # Requests the operator records since operatorEnd.
  evidence @8 :List(Evidence);
  summary @9 :List(Revision); # Revisions of all hosts that the sender knows.
  recordsFrom @10 :UInt64;  # Records contains all changes since this offset.
  reader @11 :Bool;         # The sender reads the store for its zone.
  relay @12 :Bool;          # Asks the receiver to forward sender to its zone.
  storeAgeMicros @13 :Int64; # With reader: time since the sender had all records of the store.
  operatorEra @14 :UInt64;  # Era of the store to which operatorEnd belongs; 0 if unknown.
  usage @15 :List(UsageCounts);
  usageHolder @16 :UsageHolder;
  wallMillis @17 :Int64;    # Time of day of the sender, in Unix ms; 0 if not told.
}

struct Message {
  sentAt @7 :Int64;         # Monotonic clock of the sender, in microseconds.
  union {
    forward @0 :Forward;
    reply @1 :Reply;
    cancel @2 :UInt64;      # Number of the call that the sender no longer waits for.
    gossip @3 :Gossip;
    ping @4 :Void;
    pong @5 :Void;
    opened @6 :Host;        # First message of a connection in each direction; identifies the sender.
    resume @8 :Resume;      # Requests the outcome of a call after its connection was lost.
  }
}
