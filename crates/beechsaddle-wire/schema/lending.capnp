# Tokens that routers of a fleet lend each other, and changes that they pass on. docs/PEERS.md says how
# src/lending_capnp.rs is made from this file.
#
# Parameters and results are only ever added at the end: routers of two versions talk to each other
# while a fleet is being replaced.

@0xd1b59c02e7f4a683;

enum LoanOutcome {
  lent @0;
  short @1;
  # The lender has too little now.
  exhausted @2;
  # The workspace's total does not cover `least`.
  ledgerAway @3;
  # The lender has too little, and cannot reach the ledger to get more.
}

struct UrgencyNeed {
  urgency @0 :UInt8;
  # The priority of the calls; 0 is the most urgent.
  least @1 :UInt64;
  # The smallest loan that helps one of them.
  need @2 :UInt64;
  # Tokens that they wait for.
  used @3 :Int64;
  # Tokens that calls of this urgency used beyond what the borrower told before.
}

struct UrgencyLevel {
  urgency @0 :UInt8;
  # As in `UrgencyNeed`.
  admitted @1 :Float64;
  # The part of its calls that is admitted, from 0 to 1.
  opensMs @2 :UInt32;
  # In how many milliseconds more of them may be admitted; 0 where the lender does not know.
}

interface TokenLender {
  borrow @0 (secret :Text, workspace :Text, least :UInt64, need :UInt64, ahead :UInt64, used :Int64,
          domain :Text, needs :List(UrgencyNeed))
      -> (outcome :LoanOutcome, tokens :UInt64, taken :UInt64, levels :List(UrgencyLevel));
  # Hands over tokens of a workspace: `need` and up to `ahead` more, at least `least`. The lender has
  # given them up when it answers; an answer that is lost loses them. `used` is what calls used at the
  # borrower beyond what it told before. `taken` is what all routers took of the total, as the lender
  # last saw it; 0 where it has not seen it. `domain` is the borrower's failure domain; empty from a
  # router that does not tell, which counts as the lender's own.

  giveBack @1 (secret :Text, workspace :Text, tokens :UInt64, used :Int64)
      -> (isTaken :Bool, taken :UInt64);
  # Hands tokens back to the router that keeps the workspace. The caller has given them up before it
  # asks, and has them again only where `isTaken` is false; an answer that is lost loses them.

  noteLedger @2 (secret :Text, workspace :Text, revision :UInt64, ledger :Data) -> ();
  # Tells the keeper of another domain what the caller has just written: the workspace's ledger as it
  # lies in the store, and its revision. Whoever does not hear of it learns so from the store.
}

enum FollowedKind {
  configuration @0;
  targets @1;
  evacuations @2;
}

enum FollowOutcome {
  news @0;
  # `batches` leads from the given revision to the returned one; without any nothing changed.
  gone @1;
  # Changes after the given revision are not kept.
  away @2;
  # The router cannot reach the store, or what it knows may be old.
  beginning @3;
  # The router followed another one; from now on it follows the store.
}

interface NewsRelay {
  follow @0 (secret :Text, kind :FollowedKind, revision :UInt64, waitMs :UInt32, configFormat :UInt16,
          version :UInt64)
      -> (outcome :FollowOutcome, revision :UInt64, ageMs :UInt64, batches :List(Data));
  # What changed in the store after `revision`; waits for `waitMs` milliseconds when nothing did. `ageMs` is
  # how long ago the store last answered the router. For configurations, a batch is a packed message with
  # a `RelayedConfig` that applies to the caller's `version`. `configFormat` is the caller's format of it; 0 from
  # a router that knows none. Routers with different formats read configurations from the store.
}

struct RelayedConfig {
  base @0 :UInt64;
  # The version that it applies to; 0 for an empty configuration.
  version @1 :UInt64;
  # The version that it leads to.
  limits @2 :RelayedLimits;
  passedLimits @3 :List(RelayedLimits);
  # Those of the versions in between, which callers may still go by.
  hasWorkspaces @4 :Bool;
  services @5 :List(RelayedService);
  # All services.
  hosts @6 :List(RelayedHost);
  # Hosts whose routes change.
  removedWorkspaces @7 :List(Text);
  workspaces @8 :List(RelayedWorkspace);
  # Workspaces that are new or different.
}

struct RelayedLimits {
  headBytes @0 :UInt64;
  bodyBytes @1 :UInt64;
  headTimeoutMs @2 :UInt64;
  idleTimeoutMs @3 :UInt64;
}

struct RelayedService {
  name @0 :Text;
  isEngine @1 :Bool;
  eventTokens @2 :UInt64;
  hasWarmUp @3 :Bool;
  coldPerS @4 :Float64;
  coldMs @5 :UInt64;
}

struct RelayedHost {
  host @0 :Text;
  removed @1 :List(Text);
  # Path prefixes.
  routes @2 :List(RelayedRoute);
  # Routes that are new or different.
}

enum RelayedKind {
  idempotent @0;
  notRepeatable @1;
  stream @2;
  resumableStream @3;
}

struct RelayedRoute {
  name @0 :Text;
  pathPrefix @1 :Text;
  kind @2 :RelayedKind;
  priority @3 :UInt8;
  isOpen @4 :Bool;
  hasPause @5 :Bool;
  attemptsMax @6 :UInt32;
  timeoutMs @7 :UInt64;
  objectiveMs @8 :UInt64;
  pauseMs @9 :UInt64;
  services @10 :List(RelayedShare);
}

struct RelayedShare {
  service @0 :Text;
  weight @1 :UInt64;
}

struct RelayedWorkspace {
  name @0 :Text;
  keys @1 :List(Text);
  hasPriority @2 :Bool;
  priority @3 :UInt8;
  hasPrepaid @4 :Bool;
  prepaid @5 :UInt64;
}

struct CrashNote {
  fingerprint @0 :Data;
  # Which request ran on the target: 16 bytes.
  target @1 :Text;
  # The target's id.
  started @2 :UInt64;
  # When this start of it was, in Unix milliseconds; 0 where its entry does not say.
  knownBefore @3 :UInt32;
  # Crashes under the request that were known when it was sent to the target.
  runMs @4 :UInt32;
  # How long the target had the request.
  isCleared @5 :Bool;
  # Whether the request has run to its end since.
  ageMs @6 :UInt64;
  # How long ago the crash was seen.
}

interface CrashListener {
  noteCrashes @0 (secret :Text, notes :List(CrashNote), isSpread :Bool) -> ();
  # Tells of crashes. Where `isSpread` the caller tells all routers of the listener's domain by itself.

  beginTrial @1 (secret :Text, fingerprint :Data) -> (isGranted :Bool, waitMs :UInt64);
  # Asks whether one request may be sent to a target that is suspected by `fingerprint`: 16 bytes, as in `CrashNote`.
  # Not before `waitMs` otherwise.

  endTrial @2 (secret :Text, fingerprint :Data) -> ();
  # Tells that the request of a granted trial has ended; its outcome is told by `noteCrashes`.
}

enum PlaceOutcome {
  granted @0;
  # One request may be sent to the target.
  wait @1;
  # There is no place before `waitMs`.
  free @2;
  # The target names no limit any more; that was heard `ageMs` ago.
}

interface LimitShare {
  takePlace @0 (secret :Text, target :Text, started :UInt64, perS :Float64, ageMs :UInt64, isFree :Bool)
      -> (outcome :PlaceOutcome, waitMs :UInt64, ageMs :UInt64);
  # Asks for a place at a target that takes `perS` requests a second from all routers together, as the caller heard
  # `ageMs` ago. `started` is as in `CrashNote`. With `isFree` it tells that the target names no limit any more.
}

interface ClockTeller {
  readClock @0 (secret :Text) -> (earliest :UInt64, latest :UInt64);
  # The router's wall clock, and the time by the wall clock that its process started with and its steady clock since
  # then: the earlier and the later of both, in Unix milliseconds.
}

interface StreamRegistry {
  noteStream @0 (secret :Text, stream :Text, service :Text, version :Text) -> ();
  # Tells where a stream began: `stream` is the id of the caller's attempt that received its first event, `service` and
  # `version` those of the target that sent it. The origin of a stream never changes.

  findStream @1 (secret :Text, stream :Text) -> (isKnown :Bool, service :Text, version :Text);
  # Where a stream began, as far as the router knows.
}

struct TargetNote {
  target @0 :Text;
  # The target's id.
  started @1 :UInt64;
  # As in `CrashNote`.
  ageMs @2 :UInt32;
  # How long ago the newest sample was taken.
  samples @3 :Float32;
  # The weight of the samples; 0 where only the load is told.
  eventMs @4 :Float32;
  # The mean time between two events of a stream, in milliseconds; 0 where it is not known.
  readPerMs @5 :Float32;
  # Prompt tokens that the target reads in a millisecond; 0 where it is not known.
  failureShare @6 :Float32;
  # The part of the recent attempts that failed.
  active @7 :UInt32;
  # Attempts in flight.
  pendingTokens @8 :UInt64;
  # Prompt tokens in flight that the target has not read yet.
}

interface TargetBoard {
  exchangeNotes @0 (secret :Text, host :Text, domain :Text, notes :List(TargetNote), isDomain :Bool)
      -> (notes :List(TargetNote));
  # Hands over what the caller measured of targets and returns what the router knows. Where `isDomain` the notes
  # are sums over the routers of the caller's domain, and so are those that are returned.
}

interface RouterPeer extends(TokenLender, NewsRelay, CrashListener, LimitShare, ClockTeller, StreamRegistry, TargetBoard) {}
# What a router serves to others: the first capability of its peer address.

enum TunnelOutcome {
  opened @0;
  # The connection carries the target's bytes from now on.
  refused @1;
  # The target's host refused the connection: no process serves the address.
  unreachable @2;
  # The target's host did not answer the router.
  withdrawn @3;
  # The target takes no new requests, as far as the router knows, or is not listed.
  declined @4;
  # The router does not reach the targets itself, is leaving, or has too many tunnels.
  resting @5;
  # The target has asked the router for rest. Another router may carry the tunnel.
}

struct TunnelRequest {
  secret @0 :Text;
  target @1 :Text;
  # The name of the target.
  started @2 :UInt64;
  # As in `CrashNote`.
  framed @3 :Bool;
  # Whether the router reads frames. Earlier versions of the software do not.
}

struct TunnelReply {
  outcome @0 :TunnelOutcome;
  framed @1 :Bool;
  # Whether frames follow.
}
# A connection to a router's peer address that starts with the bytes "TUNL" carries one `TunnelRequest`, then a
# `TunnelReply`, and where that says `opened` the bytes of a connection to the target. It serves one request of a
# caller.
#
# What the target sends comes in frames. Each begins with a 32-bit number, the least significant byte first: the
# number of bytes of the target that follow, 1 to 65,536; 0x454E4421 if the target has closed its connection; or
# 0xFFFFFFFF if that connection broke. The last two are the only ends: a connection that ends without one of them
# says nothing about the end of the target's answer. What the router sends comes without frames.
