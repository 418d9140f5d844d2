//! The `budget_ledger` module provides the durable record of what routers took from one total.

use serde::{Deserialize, Serialize};

/// How many writers a ledger remembers, the latest first. A router asks after its own write within
/// seconds; a workspace has one keeper in each domain, and this many writes of others take longer.
const WRITERS_MAX: usize = 24;

/// Tokens that routers took from a workspace's prepaid total, less what they gave back.
///
/// A router spends only what it took here by a conditional write, so the sum of all spending stays
/// within the prepaid total whatever routers are cut off, paused or killed, and without any clock.
/// What a killed router held is lost to the workspace. Each workspace has an object of its own, so that
/// only its few keepers meet at it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetLedger {
    /// Tokens taken.
    pub taken: u64,
    /// Tokens that died with routers, as these last told what they held: rather more than less, since they
    /// went on spending until they died. It is the only durable trace of losses, and what is held ahead
    /// depends on it.
    #[serde(default)]
    pub lost: u64,
    /// The last change of each router, the latest first.
    pub writers: Vec<WriterMark>,
}

/// The last change that a router made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterMark {
    /// The incarnation of the router.
    pub router: String,
    /// The number of its change.
    pub number: u64,
    /// Tokens that it held ahead of calls after that.
    #[serde(default)]
    pub idle: u64,
}

/// A change of a ledger by one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerChange {
    /// Counts the changes of this incarnation.
    pub number: u64,
    /// What is moved.
    pub transfer: TokenTransfer,
    /// Tokens that the router holds ahead of calls once it is done.
    pub idle: u64,
}

/// Tokens moved between a ledger and a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenTransfer {
    /// The router takes them.
    Take(u64),
    /// The router gives them back.
    GiveBack(u64),
}

impl BudgetLedger {
    /// The ledger after a change of `router`.
    ///
    /// Marks of other incarnations on its host are those of processes that ended, as a host runs one at a
    /// time. What they told to hold is lost: none of it was given back, or they would have told less.
    pub fn with_change(&self, router: &str, change: LedgerChange) -> Self {
        let taken = match change.transfer {
            TokenTransfer::Take(tokens) => self.taken.saturating_add(tokens),
            TokenTransfer::GiveBack(tokens) => self.taken.saturating_sub(tokens),
        };
        let own = WriterMark {
            router: router.to_owned(),
            number: change.number,
            idle: change.idle,
        };
        let host = host_of(router);
        let ended = self.writers.iter().filter(|mark| mark.router != router);
        let ended = ended.filter(|mark| host_of(&mark.router) == host);
        let lost = ended.fold(self.lost, |lost, mark| lost.saturating_add(mark.idle));
        let others = self.writers.iter();
        let others = others.filter(|mark| host_of(&mark.router) != host);
        let writers = std::iter::once(own).chain(others.cloned());
        BudgetLedger {
            taken,
            lost,
            writers: writers.take(WRITERS_MAX).collect(),
        }
    }

    /// Tokens that were used, as far as writers told: taken, neither lost nor held ahead of calls.
    pub fn used(&self) -> u64 {
        let idle = self.writers.iter().map(|mark| mark.idle);
        let unused = idle.fold(self.lost, |sum, idle| sum.saturating_add(idle));
        self.taken.saturating_sub(unused)
    }

    /// Whether a change of `router` is in this ledger.
    ///
    /// A write without an answer may have been done. Its mark is the only proof of that, and lives in
    /// the same object as the sum.
    pub fn has_change(&self, router: &str, number: u64) -> bool {
        self.writers
            .iter()
            .any(|mark| mark.router == router && mark.number >= number)
    }
}

/// The host of a router, by the name of its incarnation.
fn host_of(router: &str) -> &str {
    router.rsplit_once('@').map_or(router, |(host, _)| host)
}
