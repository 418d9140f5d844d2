# Tokens that routers of a fleet lend each other. docs/PEERS.md says how src/lending_capnp.rs is made
# from this file.
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

interface TokenLender {
  borrow @0 (secret :Text, workspace :Text, least :UInt64, need :UInt64, ahead :UInt64)
      -> (outcome :LoanOutcome, tokens :UInt64);
  # Hands over tokens of a workspace: `need` and up to `ahead` more, at least `least`. The lender has
  # given them up when it answers; an answer that is lost loses them.
}
