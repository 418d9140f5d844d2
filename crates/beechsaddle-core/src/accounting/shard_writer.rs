//! The `shard_writer` module provides conditional updates of one ledger shard.

use super::budget_ledger::BudgetLedger;
use super::journal_writer::RETRY_MS;
use crate::clock::ClockTime;
use crate::objects::PlatformObject;
use crate::platform::{PlatformCall, PlatformReply, WriteGuard};

/// Reads a shard for amendment and writes it back, with at most one call in flight.
#[derive(Debug)]
pub(super) struct ShardWriter {
    shard: u32,
    state: ShardState,
    retry_at: ClockTime,
    /// The version that a write with unknown outcome was based on. The write may take effect as
    /// long as the shard has this version.
    unresolved: Option<u64>,
    conflicts: u64,
}

#[derive(Debug)]
enum ShardState {
    Idle,
    Reading,
    Writing { version: u64, ledger: BudgetLedger },
}

/// The effect of a reply.
#[derive(Debug)]
pub(super) enum ShardStep {
    /// The outcome is not known yet.
    Pending,
    /// The shard was read; the caller may amend and write it now.
    Read {
        version: u64,
        ledger: BudgetLedger,
        /// Whether an earlier write may still take effect on this version.
        is_unresolved: bool,
    },
    /// The write took effect.
    Written(BudgetLedger),
}

impl ShardWriter {
    pub(super) fn new(shard: u32) -> Self {
        ShardWriter {
            shard,
            state: ShardState::Idle,
            retry_at: ClockTime::ZERO,
            unresolved: None,
            conflicts: 0,
        }
    }

    pub(super) fn is_unresolved(&self) -> bool {
        self.unresolved.is_some()
    }

    /// Returns the read that starts an update, unless one is under way.
    pub(super) fn next_call(&mut self, now: ClockTime) -> Option<PlatformCall> {
        if now < self.retry_at || !matches!(self.state, ShardState::Idle) {
            return None;
        }
        self.state = ShardState::Reading;
        Some(PlatformCall::Read {
            key: BudgetLedger::object_key(self.shard),
        })
    }

    /// Returns the write of an amended shard.
    pub(super) fn write(&mut self, version: u64, ledger: BudgetLedger) -> PlatformCall {
        let call = PlatformCall::Write {
            key: BudgetLedger::object_key(self.shard),
            object: Box::new(PlatformObject::Ledger(ledger.clone())),
            guard: WriteGuard::Version(version),
        };
        self.state = ShardState::Writing { version, ledger };
        call
    }

    /// Handles the reply to the call that was sent.
    pub(super) fn on_reply(&mut self, now: ClockTime, reply: PlatformReply) -> ShardStep {
        match std::mem::replace(&mut self.state, ShardState::Idle) {
            ShardState::Idle => ShardStep::Pending,
            ShardState::Reading => self.on_read(now, reply),
            ShardState::Writing { version, ledger } => self.on_write(now, version, ledger, reply),
        }
    }

    fn on_read(&mut self, now: ClockTime, reply: PlatformReply) -> ShardStep {
        match reply {
            PlatformReply::Found(found) => {
                let Some(PlatformObject::Ledger(ledger)) = found.object.map(|object| *object)
                else {
                    return self.pause(now, RETRY_MS);
                };
                if self.unresolved != Some(found.version) {
                    self.unresolved = None;
                }
                ShardStep::Read {
                    version: found.version,
                    ledger,
                    is_unresolved: self.unresolved.is_some(),
                }
            }
            PlatformReply::Absent => ShardStep::Read {
                version: 0,
                ledger: BudgetLedger::default(),
                is_unresolved: false,
            },
            PlatformReply::Throttled { retry_after_ms } => self.pause(now, retry_after_ms),
            _ => self.pause(now, RETRY_MS),
        }
    }

    fn on_write(
        &mut self,
        now: ClockTime,
        version: u64,
        ledger: BudgetLedger,
        reply: PlatformReply,
    ) -> ShardStep {
        match reply {
            PlatformReply::Written { .. } => {
                self.unresolved = None;
                self.conflicts = 0;
                ShardStep::Written(ledger)
            }
            // The version has changed, so no earlier write on it can take effect any more.
            PlatformReply::Conflict => {
                self.unresolved = None;
                self.conflicts += 1;
                let pause_ms = CONFLICT_PAUSE_MS * self.conflicts.min(CONFLICT_PAUSES);
                self.pause(now, pause_ms)
            }
            PlatformReply::Unknown => {
                self.unresolved = Some(version);
                self.pause(now, RETRY_MS)
            }
            PlatformReply::Throttled { retry_after_ms } => self.pause(now, retry_after_ms),
            _ => self.pause(now, RETRY_MS),
        }
    }

    fn pause(&mut self, now: ClockTime, span_ms: u64) -> ShardStep {
        self.retry_at = now.plus_ms(span_ms);
        ShardStep::Pending
    }
}

/// Delay per consecutive conflict, in milliseconds, so that many routers writing one shard do not
/// spend the platform's calls on each other's conflicts.
const CONFLICT_PAUSE_MS: u64 = 5;

/// Number of consecutive conflicts after which the delay stops growing.
const CONFLICT_PAUSES: u64 = 20;
