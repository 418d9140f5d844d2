//! The `holding_mark` module provides the durable word of a router on tokens that it will not spend
//! within the next seconds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::names::WorkspaceName;

/// How long a router keeps to a mark, in milliseconds: two marks, and the start of a process.
pub const MARK_LIFE_MS: u64 = 3_500;

/// A moment on the clock of a machine's boot, which goes on while the machine or a process is
/// suspended, and is the same for all processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootMoment {
    /// The boot; empty where it is not known.
    pub boot: String,
    /// Milliseconds since the boot.
    pub ms: u64,
}

/// Tokens that a router holds and will not spend within [`MARK_LIFE_MS`] of a moment.
///
/// What a killed router held is in the ledger as taken, and how much of it was spent nobody knows: it
/// is lost to the workspace. With 12 seconds of demand held, a fleet that is killed as a whole lost a
/// tenth of a day's tokens. A mark bounds the loss: while it is young its router leaves these tokens
/// alone. A process that starts on the same machine within the mark's life proves by its start that
/// the router before it has ended while it still kept to the mark, so that the tokens are unspent.
///
/// The proof needs no clock that two machines share. The router keeps to the mark by its steady clock,
/// which is never ahead of the boot clock; the successor measures by the boot clock from before the
/// mark was made. A router that is cut off cannot renew its mark and may spend everything once it is
/// old, so that a mark costs nothing in an outage. After another boot, or too late, nothing is taken
/// over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingMark {
    /// The incarnation of the router.
    pub router: String,
    /// The boot of its machine.
    pub boot: String,
    /// When it was made, in milliseconds since that boot.
    pub marked_ms: u64,
    /// Tokens that it leaves alone.
    pub tokens: BTreeMap<WorkspaceName, u64>,
}

impl HoldingMark {
    /// What a process may take over that started at `started` on the machine of the mark's router.
    pub fn unspent(&self, started: &BootMoment) -> BTreeMap<WorkspaceName, u64> {
        let is_same_boot = !started.boot.is_empty() && started.boot == self.boot;
        let age_ms = started.ms.checked_sub(self.marked_ms);
        match age_ms.is_some_and(|age_ms| age_ms < MARK_LIFE_MS) && is_same_boot {
            true => self.tokens.clone(),
            false => BTreeMap::new(),
        }
    }
}
