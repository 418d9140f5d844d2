# Messages between routers. docs/PEERS.md says how src/peer_capnp.rs is made from this file.
#
# Fields and variants are only ever added at the end: routers of two versions talk to each other
# while a fleet is being replaced. An unknown field is ignored, an unknown variant dropped.

@0xb4a635bfa399f0ab;

struct Incarnation {
  host @0 :Text;
  epoch @1 :UInt64;
}

struct CallName {
  router @0 :Incarnation;
  number @1 :UInt64;
}

enum KeyOrigin {
  caller @0;
  router @1;
}

struct RequestKey {
  workspace @0 :Text;
  text @1 :Text;
  origin @2 :KeyOrigin;
}

enum RanState {
  no @0;
  unknown @1;
}

struct Refusal {
  reason @0 :Text;
  # As in counters. A text, because reasons are added more often than this file changes.
  ran @1 :RanState;
  hasRetryAfter @2 :Bool;
  retryAfterMs @3 :UInt64;
}

struct AdmitReply {
  call @0 :CallName;
  union {
    journal @1 :Text;
    refused @2 :Refusal;
  }
}

struct RecordReply {
  call @0 :CallName;
  union {
    durable @1 :Void;
    refused @2 :Refusal;
  }
}

struct CallUnknown {
  call @0 :CallName;
  journal @1 :Text;
}

enum RouterState {
  live @0;
  draining @1;
  left @2;
}

enum HostState {
  live @0;
  leaving @1;
  down @2;
}

struct TargetNews {
  target @0 :Text;
  epoch @1 :UInt64;
  state @2 :HostState;
  sequence @3 :UInt64;
  hasLoad @4 :Bool;
  running @5 :UInt32;
  waiting @6 :UInt32;
  cachePermille @7 :UInt32;
  engine @8 :EngineState;
  # Absent for plain services, and when the sender does not probe the target itself.
}

enum EngineRole {
  whole @0;
  prefill @1;
  decode @2;
}

struct EngineState {
  model @0 :Text;
  version @1 :UInt64;
  adapters @2 :List(Text);
  role @3 :EngineRole;
}

enum EntryKind {
  workspace @0;
  service @1;
  model @2;
}

struct LimitUse {
  kind @4 :EntryKind;
  entry @0 :Text;
  running @1 :UInt32;
  requests @2 :UInt32;
  tokens @3 :UInt64;
  heldBack @5 :UInt32;
}

struct RouterNews {
  router @0 :Incarnation;
  domain @1 :Text;
  address @2 :Text;
  catalogueRevision @3 :UInt64;
  ageMs @4 :UInt64;
}

struct FleetLayout {
  ledgerShards @0 :UInt32;
  dedupShards @1 :UInt32;
}

struct Heartbeat {
  domain @0 :Text;
  address @1 :Text;
  sequence @2 :UInt64;
  state @3 :RouterState;
  catalogueRevision @4 :UInt64;
  targets @5 :List(TargetNews);
  limits @6 :List(LimitUse);
  routers @7 :List(RouterNews);
  layout @8 :FleetLayout;
  # Absent while the sender does not know it.
}

struct CatalogueUpdate {
  base @0 :List(Data);
  # Absent, or the parts of the whole catalogue, each CBOR as the platform stores it.
  changes @1 :List(Data);
  # One change each, CBOR as the platform stores it.
}

struct HostsUpdate {
  version @0 :UInt64;
  hosts @1 :Data;
  # CBOR as the platform stores it.
}

struct AdmitRequest {
  call @0 :CallName;
  key @1 :RequestKey;
  budget @2 :Text;
  bound @3 :UInt64;
}

struct CallProgress {
  call @0 :CallName;
  tokens @1 :UInt64;
}

struct SettleRequest {
  call @0 :CallName;
  key @1 :RequestKey;
  budget @2 :Text;
  bound @3 :UInt64;
  tokens @4 :UInt64;
  ran @5 :Bool;
  complete @6 :Bool;
  against @7 :Text;
  # Absent when the receiver reserved.
}

struct WitnessNote {
  journal @0 :Text;
  settle @1 :SettleRequest;
  ended @2 :Bool;
}

struct RecordRequest {
  call @0 :CallName;
  key @1 :RequestKey;
}

struct PeerMessage {
  union {
    heartbeat @0 :Heartbeat;
    catalogueRequest @1 :UInt64;
    catalogueUpdate @2 :CatalogueUpdate;
    admitRequest @3 :AdmitRequest;
    admitReply @4 :AdmitReply;
    progressReport @5 :List(CallProgress);
    settleRequest @6 :SettleRequest;
    settleReply @7 :CallName;
    billsDurable @8 :List(CallName);
    witnessNote @9 :WitnessNote;
    witnessReply @10 :CallName;
    recordRequest @11 :RecordRequest;
    recordReply @12 :RecordReply;
    callUnknown @13 :CallUnknown;
    hostsRequest @14 :Void;
    hostsUpdate @15 :HostsUpdate;
  }
}

struct Hello {
  sender @0 :Incarnation;
  receiver @1 :Incarnation;
  # Whom the sender means to reach; epoch zero for whichever life of that host listens.
  nonce @2 :Data;
}

struct Challenge {
  receiver @0 :Incarnation;
  nonce @1 :Data;
  proof @2 :Data;
}

interface PeerGate {
  # What a connection offers at first: a way to prove that one knows the shared secret.
  hello @0 (hello :Hello) -> (challenge :Challenge);
  prove @1 (proof :Data) -> (inbox :PeerInbox);
}

interface PeerInbox {
  # Handed out to a proven sender only, and bound to its incarnation.
  deliver @0 (messages :List(PeerMessage)) -> ();
}
