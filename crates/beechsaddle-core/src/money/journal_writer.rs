//! The `journal_writer` module provides the one writer of a router's own journal.

use super::journal_name::segment_key;
use super::journal_segment::JournalSegment;
use crate::clock::ClockTime;
use crate::names::KeyText;
use crate::objects::PlatformObject;
use crate::platform::{PlatformCall, PlatformReply, WriteGuard};

/// How long a writer waits after a call without an outcome, in milliseconds.
pub(super) const RETRY_MS: u64 = 200;

/// Writes one segment at a time, each under the next free number.
#[derive(Debug)]
pub(super) struct JournalWriter {
    journal: KeyText,
    next: u64,
    state: WriterState,
    retry_at: ClockTime,
}

#[derive(Debug)]
enum WriterState {
    Idle,
    Pending {
        segment: Box<JournalSegment>,
        step: WriterStep,
        is_sent: bool,
    },
    Fenced,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriterStep {
    Write,
    ReadBack,
}

/// What a reply meant for the segment that is being written.
#[derive(Debug)]
pub(super) enum WriterOutcome {
    /// Still open.
    Pending,
    /// The segment is durable.
    Durable {
        /// Its number.
        number: u64,
        /// Its version at the platform.
        version: u64,
        /// Its content.
        segment: Box<JournalSegment>,
    },
    /// Another router closed the journal; the segment will never be part of it.
    Fenced,
}

impl JournalWriter {
    pub(super) fn new(journal: KeyText) -> Self {
        JournalWriter {
            journal,
            next: 0,
            state: WriterState::Idle,
            retry_at: ClockTime::ZERO,
        }
    }

    pub(super) fn journal(&self) -> &KeyText {
        &self.journal
    }

    /// The number that the next segment gets.
    pub(super) fn next_number(&self) -> u64 {
        self.next
    }

    pub(super) fn is_idle(&self) -> bool {
        matches!(self.state, WriterState::Idle)
    }

    /// Starts to write a segment. The content stays the same until its outcome is known: a write
    /// whose answer was lost may still land, and must then say what the writer believes.
    pub(super) fn begin(&mut self, mut segment: JournalSegment) {
        segment.write_id = format!("{}#{}", self.journal, self.next);
        self.state = WriterState::Pending {
            segment: Box::new(segment),
            step: WriterStep::Write,
            is_sent: false,
        };
    }

    /// The platform call that is due, if any.
    pub(super) fn next_call(&mut self, now: ClockTime) -> Option<PlatformCall> {
        let WriterState::Pending {
            segment,
            step,
            is_sent,
        } = &mut self.state
        else {
            return None;
        };
        if *is_sent || now < self.retry_at {
            return None;
        }
        *is_sent = true;
        let key = segment_key(&self.journal, self.next);
        match step {
            WriterStep::Write => Some(PlatformCall::Write {
                key,
                object: Box::new(PlatformObject::Segment((**segment).clone())),
                guard: WriteGuard::Absent,
            }),
            WriterStep::ReadBack => Some(PlatformCall::Read { key }),
        }
    }

    /// Takes the outcome of the call that was sent.
    pub(super) fn on_reply(&mut self, now: ClockTime, reply: PlatformReply) -> WriterOutcome {
        let WriterState::Pending { segment, step, .. } =
            std::mem::replace(&mut self.state, WriterState::Idle)
        else {
            return WriterOutcome::Pending;
        };
        match step {
            WriterStep::Write => self.on_write(now, segment, reply),
            WriterStep::ReadBack => self.on_read_back(now, segment, reply),
        }
    }

    fn on_write(
        &mut self,
        now: ClockTime,
        segment: Box<JournalSegment>,
        reply: PlatformReply,
    ) -> WriterOutcome {
        match reply {
            PlatformReply::Written { version } => self.finish(segment, version),
            // The number is taken: by the fence, or by this very write, whose answer was lost
            // before it was sent again. Only the object itself tells.
            PlatformReply::Conflict => self.again(now, segment, WriterStep::ReadBack),
            PlatformReply::Unknown => {
                self.again(now.plus_ms(RETRY_MS), segment, WriterStep::ReadBack)
            }
            PlatformReply::Throttled { retry_after_ms } => {
                self.again(now.plus_ms(retry_after_ms), segment, WriterStep::Write)
            }
            _ => self.again(now.plus_ms(RETRY_MS), segment, WriterStep::Write),
        }
    }

    fn on_read_back(
        &mut self,
        now: ClockTime,
        segment: Box<JournalSegment>,
        reply: PlatformReply,
    ) -> WriterOutcome {
        match reply {
            PlatformReply::Found(found) => {
                let is_own = match found.object.as_deref() {
                    Some(PlatformObject::Segment(stored)) => stored.write_id == segment.write_id,
                    _ => false,
                };
                if is_own {
                    return self.finish(segment, found.version);
                }
                self.state = WriterState::Fenced;
                WriterOutcome::Fenced
            }
            // The lost write may land later all the same. Writing the same content under the same
            // number is safe, since only one of the two can take effect.
            PlatformReply::Absent => self.again(now, segment, WriterStep::Write),
            PlatformReply::Throttled { retry_after_ms } => {
                self.again(now.plus_ms(retry_after_ms), segment, WriterStep::ReadBack)
            }
            _ => self.again(now.plus_ms(RETRY_MS), segment, WriterStep::ReadBack),
        }
    }

    fn again(
        &mut self,
        at: ClockTime,
        segment: Box<JournalSegment>,
        step: WriterStep,
    ) -> WriterOutcome {
        self.retry_at = at;
        self.state = WriterState::Pending {
            segment,
            step,
            is_sent: false,
        };
        WriterOutcome::Pending
    }

    fn finish(&mut self, segment: Box<JournalSegment>, version: u64) -> WriterOutcome {
        let number = self.next;
        self.next += 1;
        WriterOutcome::Durable {
            number,
            version,
            segment,
        }
    }
}
