//! The `workspace_ledger` module provides the durable record of the tokens that routers took from a
//! prepaid total.

use serde::{Deserialize, Serialize};

use super::fleet_clock::{CLOCK_SKEW_MS, StartBound};
use super::reserve_schedule::ReserveSchedule;
use crate::clock::ClockTime;

/// Number of writer entries that a ledger retains, the latest first. A router looks for its own
/// entry within seconds of a write; a workspace has one allocator in each domain, and 24 writes by
/// others take longer than that.
const WRITERS_MAX: usize = 24;

/// Tokens that routers took from a workspace's prepaid total, less the tokens that they returned.
///
/// A router spends only tokens that it took here by a conditional write, so total spending stays
/// within the prepaid total even when routers are partitioned, paused or killed. A change takes at
/// most the tokens left of the total and succeeds only on the revision that it is based on, so no
/// token is taken twice; a router deducts tokens before it returns or lends them, so no two routers
/// hold the same token.
///
/// Tokens held by a killed router are lost to the workspace, except those that it had deferred
/// ([`DeferredReserve`]). Each workspace has its own ledger object, so that only its few allocators
/// contend for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceLedger {
    /// Tokens taken, in total.
    pub taken: u64,
    /// Tokens lost with terminated routers, by the idle count that each last wrote. This is an
    /// upper bound, as the routers went on spending until they ended. It is the only durable record
    /// of losses, and it limits how many tokens allocators hold idle.
    #[serde(default)]
    pub lost: u64,
    /// The last change of each router, the latest first.
    pub writers: Vec<WriterMark>,
}

/// The last change of a ledger by one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterMark {
    /// The incarnation of the router.
    pub router: String,
    /// The number of the change; see [`LedgerChange::number`].
    pub number: u64,
    /// Idle tokens of the router after the change: held, but not reserved for calls.
    #[serde(default)]
    pub idle: u64,
    /// The part of the idle tokens that is not usable yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deferred: Option<DeferredReserve>,
}

/// Tokens that an allocator holds for outages and that become usable little by little after a write.
///
/// The next process on the same host returns those that had certainly not become usable when it
/// started. A process that is paused does not break the rule, as its tokens become usable later,
/// and a host runs one process at a time. Other processes need to know nothing but the time, by the
/// clocks of a majority of the fleet: if half of the hosts or more have wrong clocks, used tokens
/// may be returned and spent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeferredReserve {
    pub tokens: u64,
    /// A lower bound on the time of their first use, by the earliest clock of the fleet.
    pub until: ClockTime,
    /// The most of them that become usable per second from then on. Entries of older versions lack
    /// it: all become usable at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub per_s: Option<u64>,
}

impl DeferredReserve {
    /// Returns how many tokens were certainly unused at `time`.
    fn unused_at(&self, time: ClockTime) -> u64 {
        let schedule = ReserveSchedule {
            tokens: self.tokens,
            opens_at: self.until,
            per_s: self.per_s,
        };
        schedule.deferred_at(time)
    }
}

impl WriterMark {
    /// Whether the entry belongs to an earlier process on the host of `router`.
    fn has_ended(&self, router: &str) -> bool {
        self.router != router && host_of(&self.router) == host_of(router)
    }

    /// Returns how many tokens the ended process had certainly not used when its successor started.
    fn unused(&self, started: StartBound) -> u64 {
        let StartBound::By(started_by) = started else {
            return 0;
        };
        let known_by = started_by.plus_ms(CLOCK_SKEW_MS);
        let unused = self.deferred.map(|reserve| reserve.unused_at(known_by));
        unused.unwrap_or(0).min(self.idle)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerChange {
    /// A sequence number, counted per incarnation.
    pub number: u64,
    pub transfer: TokenTransfer,
    /// Idle tokens of the router after the change.
    pub idle: u64,
    /// The part of the idle tokens that is not usable yet.
    pub deferred: Option<DeferredReserve>,
    /// When the process of the router started, by the clocks of the fleet.
    pub started: StartBound,
}

/// A movement of tokens between a ledger and a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenTransfer {
    /// The router takes tokens.
    Take(u64),
    /// The router returns tokens.
    GiveBack(u64),
}

impl WorkspaceLedger {
    /// Returns the ledger after a change by `router`.
    ///
    /// A host runs one process at a time, so entries of other incarnations on the same host belong
    /// to processes that have ended. The idle tokens in their entries count as lost: had a process
    /// returned any, its last entry would show fewer. Tokens that it had certainly not used are
    /// recovered instead. An entry with deferred tokens stays while the clocks of the fleet are
    /// awaited; without them all of its tokens count as lost.
    pub fn with_change(&self, router: &str, change: LedgerChange) -> Self {
        let taken = self.taken_after(change.transfer);
        let own = WriterMark {
            router: router.to_owned(),
            number: change.number,
            idle: change.idle,
            deferred: change.deferred,
        };
        let is_settled = |mark: &&WriterMark| {
            let is_retained = change.started == StartBound::Awaited && mark.deferred.is_some();
            mark.has_ended(router) && !is_retained
        };
        let ended = || self.writers.iter().filter(is_settled);
        let unused = ended().map(|mark| mark.unused(change.started));
        let returned = unused.fold(0_u64, u64::saturating_add);
        let idle = ended().map(|mark| mark.idle);
        let idle_total = idle.fold(0_u64, u64::saturating_add);
        let others = self.writers.iter();
        let others = others.filter(|mark| mark.router != router && !is_settled(mark));
        let writers = std::iter::once(own).chain(others.cloned());
        WorkspaceLedger {
            taken: taken.saturating_sub(returned),
            lost: self.lost.saturating_add(idle_total - returned),
            writers: writers.take(WRITERS_MAX).collect(),
        }
    }

    /// Returns the tokens recovered from ended processes when this ledger became `next` by a
    /// change.
    pub fn recovered_in(&self, next: &WorkspaceLedger, change: LedgerChange) -> u64 {
        self.taken_after(change.transfer).saturating_sub(next.taken)
    }

    fn taken_after(&self, transfer: TokenTransfer) -> u64 {
        match transfer {
            TokenTransfer::Take(tokens) => self.taken.saturating_add(tokens),
            TokenTransfer::GiveBack(tokens) => self.taken.saturating_sub(tokens),
        }
    }

    /// Returns the tokens lost with earlier processes on the host of `router` that `lost` does not
    /// include yet.
    pub fn uncounted_losses(&self, router: &str) -> u64 {
        let ended = self.writers.iter().filter(|mark| mark.has_ended(router));
        let idle = ended.map(|mark| mark.idle);
        idle.fold(0_u64, u64::saturating_add)
    }

    /// Whether an earlier process on the host of `router` had deferred tokens.
    pub fn has_deferred_before(&self, router: &str) -> bool {
        let mut ended = self.writers.iter().filter(|mark| mark.has_ended(router));
        ended.any(|mark| mark.deferred.is_some())
    }

    /// Returns the used tokens as far as writers reported: taken, and neither lost nor idle.
    pub fn used(&self) -> u64 {
        let idle = self.writers.iter().map(|mark| mark.idle);
        let unused = idle.fold(self.lost, |sum, idle| sum.saturating_add(idle));
        self.taken.saturating_sub(unused)
    }

    /// Whether a change of `router` is in this ledger.
    ///
    /// A write without an answer may have been applied. The writer entry is the only proof, and is
    /// stored in the same object as the sum.
    pub fn has_change(&self, router: &str, number: u64) -> bool {
        self.writers
            .iter()
            .any(|mark| mark.router == router && mark.number >= number)
    }
}

/// Returns the host of a router, from the name of its incarnation.
fn host_of(router: &str) -> &str {
    router.rsplit_once('@').map_or(router, |(host, _)| host)
}
