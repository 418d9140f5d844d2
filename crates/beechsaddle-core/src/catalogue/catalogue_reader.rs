//! The `catalogue_reader` module provides the reading and watching of the catalogue at the
//! platform.

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

/// A call that was not answered for so long, in milliseconds, was lost on the way: a watch is
/// answered after about 30 s at the latest, and a read by the time limit of the edge.
const CALL_LOST_MS: u64 = 60_000;

/// A router that is at most so many revisions behind the newest base reads the changes.
const CHANGES_WORTH_READING: u64 = 64;

/// The call that is under way or next.
#[derive(Debug)]
enum ReadStep {
    /// Which base is the newest?
    Head,
    /// The next part of a base.
    Part {
        head: CatalogueHead,
        parts: Vec<CatalogueBase>,
    },
    /// The change after the revision in force.
    Change,
    /// Wait for a change.
    Watch,
    /// No call until then.
    Rest { until: ClockTime, failed: bool },
}

/// What a reply brought.
#[derive(Debug, PartialEq)]
pub(super) enum ReaderNews {
    /// The parts of a base.
    Base(Vec<CatalogueBase>),
    /// Changes, oldest first.
    Changes(Vec<CatalogueChange>),
}

/// What the next call depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReaderScene {
    /// The revision in force.
    pub revision: u64,
    /// Whether this router watches; it looks now and then otherwise.
    pub watches: bool,
    /// How often it looks, in milliseconds.
    pub poll_ms: u64,
}

/// Reads the newest base, then the changes after it, then watches or rests; one call at a time.
#[derive(Debug)]
pub(super) struct CatalogueReader {
    step: ReadStep,
    next_number: u64,
    pending: Option<(u64, ClockTime)>,
    /// The platform's revision before which no change was missed.
    seen: u64,
    backoff: RetryBackoff,
}

impl CatalogueReader {
    pub fn new(me: &RouterIncarnation) -> Self {
        CatalogueReader {
            step: ReadStep::Head,
            next_number: 0,
            pending: None,
            seen: 0,
            backoff: RetryBackoff::new(me, CHANGE_PREFIX),
        }
    }

    /// Starts over when a call was lost, and ends a rest when it is time.
    pub fn tick(&mut self, now: ClockTime, scene: ReaderScene, outbox: &mut CoreOutbox) {
        let lost = self
            .pending
            .is_some_and(|(_, since)| now.since(since) >= CALL_LOST_MS);
        if lost {
            self.pending = None;
            self.step = ReadStep::Head;
        }
        match self.step {
            // The outage may have been long: the newest base saves reading all changes since.
            ReadStep::Rest { until, failed } if failed && until <= now => {
                self.step = ReadStep::Head;
            }
            ReadStep::Rest { until, failed } if !failed && (until <= now || scene.watches) => {
                self.step = ReadStep::Change;
            }
            ReadStep::Rest { .. }
            | ReadStep::Head
            | ReadStep::Part { .. }
            | ReadStep::Change
            | ReadStep::Watch => {}
        }
        self.proceed(now, scene, outbox);
    }

    /// Takes an outcome and gives what it brought. Once that is in force,
    /// [`CatalogueReader::proceed`] makes the next call.
    pub fn on_platform(
        &mut self,
        now: ClockTime,
        ticket: PlatformTicket,
        reply: PlatformReply,
    ) -> Option<ReaderNews> {
        // The answer to a call that was given up must not start a second chain of calls.
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

    /// Makes the next call unless one is under way.
    pub fn proceed(&mut self, now: ClockTime, scene: ReaderScene, outbox: &mut CoreOutbox) {
        if self.pending.is_some() {
            return;
        }
        self.skip_base(scene);
        if matches!(self.step, ReadStep::Watch) && !scene.watches {
            self.step = ReadStep::Rest {
                until: now.plus_ms(scene.poll_ms),
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
                key: change_key(scene.revision + 1),
            },
            ReadStep::Watch => PlatformCall::Watch {
                prefix: ObjectKey::new(CHANGE_PREFIX),
                after: self.seen,
            },
            ReadStep::Rest { .. } => return,
        };
        self.call(now, call, outbox);
    }

    /// A base that is not much newer than what is in force costs more than the changes do.
    fn skip_base(&mut self, scene: ReaderScene) {
        let ReadStep::Part { head, .. } = &self.step else {
            return;
        };
        let near = scene.revision > 0
            && head.revision <= scene.revision.saturating_add(CHANGES_WORTH_READING);
        if near || head.parts == 0 {
            self.step = ReadStep::Change;
        }
    }

    fn on_found(&mut self, now: ClockTime, stored: StoredObject) -> Option<ReaderNews> {
        self.backoff.reset();
        let version = stored.version;
        match stored.object.map(|object| *object) {
            Some(PlatformObject::Head(head)) => {
                self.seen = self.seen.max(version);
                let parts = Vec::new();
                self.step = ReadStep::Part { head, parts };
                None
            }
            Some(PlatformObject::Base(part)) => self.on_part(part),
            Some(PlatformObject::Change(change)) => {
                self.seen = self.seen.max(version);
                self.step = ReadStep::Change;
                Some(ReaderNews::Changes(vec![change]))
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

    fn on_part(&mut self, part: CatalogueBase) -> Option<ReaderNews> {
        let ReadStep::Part { head, parts } = &mut self.step else {
            return None;
        };
        parts.push(part);
        if parts.len() < head.parts as usize {
            return None;
        }
        let parts = std::mem::take(parts);
        self.step = ReadStep::Change;
        Some(ReaderNews::Base(parts))
    }

    fn on_absent(&mut self) {
        self.backoff.reset();
        self.step = match self.step {
            // There is no base yet, or a part of it is missing: the changes are all kept.
            ReadStep::Head | ReadStep::Part { .. } => ReadStep::Change,
            ReadStep::Change | ReadStep::Watch | ReadStep::Rest { .. } => ReadStep::Watch,
        };
    }

    fn on_changed(&mut self, objects: Vec<StoredObject>, revision: u64) -> Option<ReaderNews> {
        self.backoff.reset();
        self.seen = self.seen.max(revision);
        let mut changes = read_changes(objects);
        if changes.is_empty() {
            return None;
        }
        // Reading on shows a change that the watch skipped and those that came meanwhile.
        self.step = ReadStep::Change;
        changes.sort_by_key(|change| change.revision);
        Some(ReaderNews::Changes(changes))
    }

    fn fail(&mut self, now: ClockTime, least_ms: u64) -> Option<ReaderNews> {
        let waiting_ms = self.backoff.next_ms(least_ms);
        self.step = ReadStep::Rest {
            until: now.plus_ms(waiting_ms),
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
