//! The `event_splitter` module provides the splitting of a stream into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// Number of parts of an event up to which their size does not matter.
const SMALL_PARTS_MAX: usize = 4_096;

/// Minimum mean size of the parts of an event that comes in more of them, in bytes: each takes a turn of
/// two tasks.
const PART_BYTES_MIN: usize = 16;

/// Complete events that may be sent to the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct CompleteEvents {
    /// The events' bytes.
    pub(super) bytes: Bytes,
    /// Number of events in `bytes`.
    pub(super) events: u64,
    /// Number of events that became complete, also those that the caller already has.
    pub(super) complete: u64,
}

/// An event that exceeds `MAX_EVENT_BYTES`, or comes in too many parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EventTooLong;

/// Splits a stream into complete events.
///
/// A target can disconnect in the middle of an event. If another target resumes the stream, the
/// caller's data must end on an event boundary, so only complete events are forwarded. Events that
/// the caller already has are dropped.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: BytesMut,
    /// Where the last line of the buffer starts; what is before it is not searched again.
    line_start: usize,
    /// Number of parts in which the incomplete event has come.
    parts: usize,
    last_event: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a caller that has every event up to `last_event`.
    pub(super) fn new(last_event: Option<u64>) -> Self {
        EventSplitter {
            buffer: BytesMut::new(),
            line_start: 0,
            parts: 0,
            last_event,
        }
    }

    /// Returns the id of the last forwarded event.
    pub(super) fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Discards an incomplete event.
    pub(super) fn drop_partial(&mut self) {
        self.buffer.clear();
        self.line_start = 0;
        self.parts = 0;
    }

    /// Returns the size of the incomplete event, in bytes.
    pub(super) fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Adds bytes read from the target and returns the events that are complete and new to the
    /// caller.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLong`] if an incomplete event exceeds `MAX_EVENT_BYTES`, or comes in a great many
    /// parts of a few bytes.
    pub(super) fn push(&mut self, part: &[u8]) -> Result<CompleteEvents, EventTooLong> {
        self.buffer.extend_from_slice(part);
        self.parts += 1;
        let mut passed = BytesMut::new();
        let mut events = 0;
        let mut complete = 0;
        while let Some(event) = self.take_event() {
            complete += 1;
            self.parts = 1;
            if self.accept_event(&event) {
                passed.extend_from_slice(&event);
                events += 1;
            }
        }
        let is_scattered =
            self.parts > SMALL_PARTS_MAX && self.buffer.len() / self.parts < PART_BYTES_MIN;
        if self.buffer.len() > MAX_EVENT_BYTES || is_scattered {
            return Err(EventTooLong);
        }
        Ok(CompleteEvents {
            bytes: passed.freeze(),
            events,
            complete,
        })
    }

    /// Takes the first event, with its blank line, if it is complete.
    fn take_event(&mut self) -> Option<BytesMut> {
        let searched_from = self.line_start;
        for newline in memchr::memchr_iter(b'\n', &self.buffer[searched_from..]) {
            let newline = searched_from + newline;
            let line = &self.buffer[self.line_start..newline];
            if line.is_empty() || line == b"\r" {
                self.line_start = 0;
                return Some(self.buffer.split_to(newline + 1));
            }
            self.line_start = newline + 1;
        }
        None
    }

    /// Returns whether the caller does not have an event yet, and remembers its id if so.
    fn accept_event(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else {
            return true;
        };
        if self.last_event.is_some_and(|last| id <= last) {
            return false;
        }
        self.last_event = Some(id);
        true
    }
}

/// Returns the number in an event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
