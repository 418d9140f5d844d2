//! The `catalogue_reader` module provides the reads and watches of the catalogue on the platform.

use super::{
    CHANGE_PREFIX, CatalogueBase, CatalogueChange, CatalogueHead, HEAD_KEY, base_key, change_key,
};
use crate::action::CoreAction;
use crate::backoff::RetryBackoff;
use crate::clock::ClockTime;
use crate::names::{ObjectKey, RouterIncarnation};
use crate::objects::PlatformObject;
use crate::outbox::CoreOutbox;
use crate::platform::{PlatformCall, PlatformDuty, PlatformReply, PlatformTicket, StoredObject};

/// The time after which an unanswered call counts as lost, in milliseconds. A watch is answered
/// after about 30 s at the latest, and a read within the edge's time limit.
const CALL_TIMEOUT_MS: u64 = 60_000;

/// The largest distance in revisions to the newest base at which changes are read instead of the
/// base.
const MAX_CHANGE_READS: u64 = 64;

/// The call that is in flight or next.
#[derive(Debug)]
enum ReadStep {
    /// Reads which base is the newest.
    Head,
    /// Reads the next part of a base.
    Part {
        head: CatalogueHead,
        parts: Vec<CatalogueBase>,
    },
    /// Reads the change after the revision in effect.
    Change,
    /// Waits for a change.
    Watch,
    /// Makes no call until a time.
    Idle { until: ClockTime, failed: bool },
}

/// The data of a reply.
#[derive(Debug, PartialEq)]
pub(super) enum ReaderOutput {
    /// The parts of a base.
    Base(Vec<CatalogueBase>),
    /// Changes, oldest first.
    Changes(Vec<CatalogueChange>),
}

/// The inputs for the choice of the next call.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReaderContext {
    /// The revision in effect.
    pub revision: u64,
    /// Whether this router watches; otherwise it polls.
    pub is_watcher: bool,
    /// The poll interval in milliseconds.
    pub poll_ms: u64,
}

/// Reads the newest base, then the changes after it, then watches or polls; one call at a time.
#[derive(Debug)]
pub(super) struct CatalogueReader {
    step: ReadStep,
    next_number: u64,
    pending: Option<(u64, ClockTime)>,
    /// The platform's revision up to which no change was missed.
    watched_revision: u64,
    backoff: RetryBackoff,
}

impl CatalogueReader {
    pub fn new(me: &RouterIncarnation) -> Self {
        CatalogueReader {
            step: ReadStep::Head,
            next_number: 0,
            pending: None,
            watched_revision: 0,
            backoff: RetryBackoff::new(me, CHANGE_PREFIX),
        }
    }

    /// Starts over when a call was lost, and ends a pause when it is due.
    pub fn tick(&mut self, now: ClockTime, context: ReaderContext, outbox: &mut CoreOutbox) {
        let lost = self
            .pending
            .is_some_and(|(_, since)| now.since(since) >= CALL_TIMEOUT_MS);
        if lost {
            self.pending = None;
            self.step = ReadStep::Head;
        }
        match self.step {
            // After a long outage the newest base is cheaper than all changes since.
            ReadStep::Idle { until, failed } if failed && until <= now => {
                self.step = ReadStep::Head;
            }
            ReadStep::Idle { until, failed } if !failed && (until <= now || context.is_watcher) => {
                self.step = ReadStep::Change;
            }
            ReadStep::Idle { .. }
            | ReadStep::Head
            | ReadStep::Part { .. }
            | ReadStep::Change
            | ReadStep::Watch => {}
        }
        self.proceed(now, context, outbox);
    }

    /// Handles an outcome and returns its data. After the data was applied,
    /// [`CatalogueReader::proceed`] makes the next call.
    pub fn on_platform(
        &mut self,
        now: ClockTime,
        ticket: PlatformTicket,
        reply: PlatformReply,
    ) -> Option<ReaderOutput> {
        // The reply to a call that timed out must not start a second chain of calls.
        if self.pending.map(|(number, _)| number) != Some(ticket.number) {
            return None;
        }
        self.pending = None;
        match reply {
            PlatformReply::Found(stored) => self.on_found(now, stored),
            PlatformReply::Absent => {
                self.on_absent();
                None
            }
            PlatformReply::Changed { objects, revision } => self.on_changed(objects, revision),
            PlatformReply::Throttled { retry_after_ms } => self.fail(now, retry_after_ms),
            PlatformReply::Unreachable
            | PlatformReply::Unknown
            | PlatformReply::Invalid
            | PlatformReply::Conflict
            | PlatformReply::Written { .. }
            | PlatformReply::Deleted
            | PlatformReply::Listed { .. } => self.fail(now, 0),
        }
    }

    /// Makes the next call unless one is in flight.
    pub fn proceed(&mut self, now: ClockTime, context: ReaderContext, outbox: &mut CoreOutbox) {
        if self.pending.is_some() {
            return;
        }
        self.skip_base(context);
        if matches!(self.step, ReadStep::Watch) && !context.is_watcher {
            self.step = ReadStep::Idle {
                until: now.plus_ms(context.poll_ms),
                failed: false,
            };
        }
        let call = match &self.step {
            ReadStep::Head => PlatformCall::Read {
                key: ObjectKey::new(HEAD_KEY),
            },
            ReadStep::Part { head, parts } => PlatformCall::Read {
                key: base_key(head.revision, parts.len() as u32),
            },
            ReadStep::Change => PlatformCall::Read {
                key: change_key(context.revision + 1),
            },
            ReadStep::Watch => PlatformCall::Watch {
                prefix: ObjectKey::new(CHANGE_PREFIX),
                after: self.watched_revision,
            },
            ReadStep::Idle { .. } => return,
        };
        self.call(now, call, outbox);
    }

    /// Skips a base that is so close to the revision in effect that reading the changes costs less.
    fn skip_base(&mut self, context: ReaderContext) {
        let ReadStep::Part { head, .. } = &self.step else {
            return;
        };
        let is_near = context.revision > 0
            && head.revision <= context.revision.saturating_add(MAX_CHANGE_READS);
        if is_near || head.parts == 0 {
            self.step = ReadStep::Change;
        }
    }

    fn on_found(&mut self, now: ClockTime, stored: StoredObject) -> Option<ReaderOutput> {
        self.backoff.reset();
        let version = stored.version;
        match stored.object.map(|object| *object) {
            Some(PlatformObject::Head(head)) => {
                self.watched_revision = self.watched_revision.max(version);
                let parts = Vec::new();
                self.step = ReadStep::Part { head, parts };
                None
            }
            Some(PlatformObject::Base(part)) => self.on_part(part),
            Some(PlatformObject::Change(change)) => {
                self.watched_revision = self.watched_revision.max(version);
                self.step = ReadStep::Change;
                Some(ReaderOutput::Changes(vec![change]))
            }
            Some(
                PlatformObject::Ledger(_)
                | PlatformObject::Segment(_)
                | PlatformObject::Dedup(_)
                | PlatformObject::Hosts(_)
                | PlatformObject::Fence(_)
                | PlatformObject::Layout(_),
            )
            | None => self.fail(now, 0),
        }
    }

    fn on_part(&mut self, part: CatalogueBase) -> Option<ReaderOutput> {
        let ReadStep::Part { head, parts } = &mut self.step else {
            return None;
        };
        parts.push(part);
        if parts.len() < head.parts as usize {
            return None;
        }
        let parts = std::mem::take(parts);
        self.step = ReadStep::Change;
        Some(ReaderOutput::Base(parts))
    }

    fn on_absent(&mut self) {
        self.backoff.reset();
        self.step = match self.step {
            // There is no base yet, or a part of it is missing: all changes are still stored.
            ReadStep::Head | ReadStep::Part { .. } => ReadStep::Change,
            ReadStep::Change | ReadStep::Watch | ReadStep::Idle { .. } => ReadStep::Watch,
        };
    }

    fn on_changed(&mut self, objects: Vec<StoredObject>, revision: u64) -> Option<ReaderOutput> {
        self.backoff.reset();
        self.watched_revision = self.watched_revision.max(revision);
        let mut changes = read_changes(objects);
        if changes.is_empty() {
            return None;
        }
        // Reads continue, in case the watch skipped a change or more followed.
        self.step = ReadStep::Change;
        changes.sort_by_key(|change| change.revision);
        Some(ReaderOutput::Changes(changes))
    }

    fn fail(&mut self, now: ClockTime, min_ms: u64) -> Option<ReaderOutput> {
        let delay_ms = self.backoff.next_ms(min_ms);
        self.step = ReadStep::Idle {
            until: now.plus_ms(delay_ms),
            failed: true,
        };
        None
    }

    fn call(&mut self, now: ClockTime, call: PlatformCall, outbox: &mut CoreOutbox) {
        let number = self.next_number;
        self.next_number += 1;
        self.pending = Some((number, now));
        outbox.act(CoreAction::Platform {
            ticket: PlatformTicket {
                duty: PlatformDuty::Catalogue,
                number,
            },
            call,
        });
    }
}

fn read_changes(objects: Vec<StoredObject>) -> Vec<CatalogueChange> {
    let mut changes = Vec::new();
    for stored in objects {
        match stored.object.map(|object| *object) {
            Some(PlatformObject::Change(change)) => changes.push(change),
            Some(
                PlatformObject::Ledger(_)
                | PlatformObject::Segment(_)
                | PlatformObject::Dedup(_)
                | PlatformObject::Base(_)
                | PlatformObject::Head(_)
                | PlatformObject::Hosts(_)
                | PlatformObject::Fence(_)
                | PlatformObject::Layout(_),
            )
            | None => {}
        }
    }
    changes
}
