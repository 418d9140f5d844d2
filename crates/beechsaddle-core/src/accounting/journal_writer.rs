//! The `journal_writer` module provides the single writer of a router's own journal.

use super::journal_name::segment_key;
use super::journal_segment::JournalSegment;
use crate::clock::ClockTime;
use crate::names::KeyText;
use crate::objects::PlatformObject;
use crate::platform::{PlatformCall, PlatformReply, WriteGuard};

/// Delay before a platform call without a definite outcome is repeated, in milliseconds.
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

/// The effect of a reply on the segment that is being written.
#[derive(Debug)]
pub(super) enum WriterOutcome {
    /// The outcome is not known yet.
    Pending,
    /// The segment is durable.
    Durable {
        number: u64,
        /// The segment's version at the platform.
        version: u64,
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

    /// Returns the number of the next segment.
    pub(super) fn next_number(&self) -> u64 {
        self.next
    }

    pub(super) fn is_idle(&self) -> bool {
        matches!(self.state, WriterState::Idle)
    }

    /// Starts to write a segment. Its content is fixed until the outcome is known, because a write
    /// whose reply was lost may still take effect and must then match the writer's state.
    pub(super) fn begin(&mut self, mut segment: JournalSegment) {
        segment.write_id = format!("{}#{}", self.journal, self.next);
        self.state = WriterState::Pending {
            segment: Box::new(segment),
            step: WriterStep::Write,
            is_sent: false,
        };
    }

    /// Returns the platform call that is due, if any.
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

    /// Handles the reply to the call that was sent.
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
            // The number is taken, either by a fence or by this same write, sent again after its
            // reply was lost. Only reading the object shows which.
            PlatformReply::Conflict => self.retry(now, segment, WriterStep::ReadBack),
            PlatformReply::Unknown => {
                self.retry(now.plus_ms(RETRY_MS), segment, WriterStep::ReadBack)
            }
            PlatformReply::Throttled { retry_after_ms } => {
                self.retry(now.plus_ms(retry_after_ms), segment, WriterStep::Write)
            }
            _ => self.retry(now.plus_ms(RETRY_MS), segment, WriterStep::Write),
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
            // The lost write may still take effect later. Writing the same content under the same
            // number is safe, since only one of the two can succeed.
            PlatformReply::Absent => self.retry(now, segment, WriterStep::Write),
            PlatformReply::Throttled { retry_after_ms } => {
                self.retry(now.plus_ms(retry_after_ms), segment, WriterStep::ReadBack)
            }
            _ => self.retry(now.plus_ms(RETRY_MS), segment, WriterStep::ReadBack),
        }
    }

    fn retry(
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
