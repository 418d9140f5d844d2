//! The `budget_ledger` module provides the durable record of what routers took from one total.

use serde::{Deserialize, Serialize};

use super::fleet_clock::{CLOCK_SKEW_MS, StartBound};
use crate::clock::ClockTime;

/// How many writers a ledger remembers, the latest first. A router asks after its own write within
/// seconds; a workspace has one keeper in each domain, and this many writes of others take longer.
const WRITERS_MAX: usize = 24;

/// Tokens that routers took from a workspace's prepaid total, less what they gave back.
///
/// A router spends only what it took here by a conditional write, so the sum of all spending stays
/// within the prepaid total whatever routers are cut off, paused or killed.
/// What a killed router held is lost to the workspace, but for what it had deferred ([`DeferredCover`]). Each workspace has an object of its own, so that
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
    /// What of these it did not use for a while.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deferred: Option<DeferredCover>,
}

/// Tokens that a router holds for outages and uses only some seconds after its last write.
///
/// A process that follows it on its host gives them back if it surely started before that. A promise not to use
/// tokens before a time is kept by a process that is paused as well: it uses them later. Only the time itself has to
/// be known to the other process, by the clocks of more than half of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeferredCover {
    /// The tokens.
    pub tokens: u64,
    /// No later than the first use of them, by the earliest clock of the fleet.
    pub until: ClockTime,
}

impl WriterMark {
    /// Whether it is that of a process before `router` on its host.
    fn has_ended(&self, router: &str) -> bool {
        self.router != router && host_of(&self.router) == host_of(router)
    }

    /// What a process that ended had surely not used when the next one on its host started.
    fn unused(&self, started: StartBound) -> u64 {
        let StartBound::By(started_by) = started else {
            return 0;
        };
        let deferred = self.deferred.filter(|cover| {
            let known_by = started_by.plus_ms(CLOCK_SKEW_MS);
            known_by < cover.until
        });
        deferred.map_or(0, |cover| cover.tokens.min(self.idle))
    }
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
    /// What of these it does not use for a while.
    pub deferred: Option<DeferredCover>,
    /// When its process started, by the clocks of the fleet.
    pub started: StartBound,
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
    /// time. What they told to hold is lost: none of it was given back, or they would have told less. What they
    /// had surely not used comes back. While that may still turn out, their marks stay.
    pub fn with_change(&self, router: &str, change: LedgerChange) -> Self {
        let taken = self.taken_after(change.transfer);
        let own = WriterMark {
            router: router.to_owned(),
            number: change.number,
            idle: change.idle,
            deferred: change.deferred,
        };
        let is_settled = |mark: &&WriterMark| {
            let is_kept = change.started == StartBound::Awaited && mark.deferred.is_some();
            mark.has_ended(router) && !is_kept
        };
        let ended = || self.writers.iter().filter(is_settled);
        let unused = ended().map(|mark| mark.unused(change.started));
        let returned = unused.fold(0_u64, u64::saturating_add);
        let idle = ended().map(|mark| mark.idle);
        let died = idle.fold(0_u64, u64::saturating_add);
        let others = self.writers.iter();
        let others = others.filter(|mark| mark.router != router && !is_settled(mark));
        let writers = std::iter::once(own).chain(others.cloned());
        BudgetLedger {
            taken: taken.saturating_sub(returned),
            lost: self.lost.saturating_add(died - returned),
            writers: writers.take(WRITERS_MAX).collect(),
        }
    }

    /// Tokens that came back from processes that ended as this ledger became `next` by a change.
    pub fn recovered_in(&self, next: &BudgetLedger, change: LedgerChange) -> u64 {
        self.taken_after(change.transfer).saturating_sub(next.taken)
    }

    fn taken_after(&self, transfer: TokenTransfer) -> u64 {
        match transfer {
            TokenTransfer::Take(tokens) => self.taken.saturating_add(tokens),
            TokenTransfer::GiveBack(tokens) => self.taken.saturating_sub(tokens),
        }
    }

    /// Tokens that died with processes on the host of `router` and are not counted as lost yet.
    pub fn died_before(&self, router: &str) -> u64 {
        let ended = self.writers.iter().filter(|mark| mark.has_ended(router));
        let idle = ended.map(|mark| mark.idle);
        idle.fold(0_u64, u64::saturating_add)
    }

    /// Whether a process that ended on the host of `router` had deferred tokens.
    pub fn has_deferred_before(&self, router: &str) -> bool {
        let mut ended = self.writers.iter().filter(|mark| mark.has_ended(router));
        ended.any(|mark| mark.deferred.is_some())
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
