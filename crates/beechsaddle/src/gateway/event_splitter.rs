//! The `event_splitter` module provides the events of a stream as they pass.

use bytes::{Bytes, BytesMut};

/// The longest event that is waited for, in bytes.
const EVENT_BYTES: usize = 256 * 1_024;

/// What of a stream may go to the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SplitPart {
    /// Bytes to pass on.
    pub(super) bytes: Bytes,
    /// How many events end in them.
    pub(super) events: u64,
}

/// An event that does not end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EventTooLong;

/// Splits a stream into events.
///
/// A target can break off in the middle of an event. Where another one goes on, what the caller got
/// must end with a whole event, or the next would be glued to half of the last: so only whole events
/// are passed on. Events that the caller has already are dropped.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    carry: BytesMut,
    last_event: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a caller that has everything up to `last_event`.
    pub(super) fn new(last_event: Option<u64>) -> Self {
        EventSplitter {
            carry: BytesMut::new(),
            last_event,
        }
    }

    /// The last event that was passed on.
    pub(super) fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Forgets the half of an event that its target did not finish.
    pub(super) fn drop_partial(&mut self) {
        self.carry.clear();
    }

    /// What came after the last whole event.
    pub(super) fn take_partial(&mut self) -> Bytes {
        self.carry.split().freeze()
    }

    /// Takes what was read and gives the whole events.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] when an event exceeds the memory set aside for it.
    pub(super) fn push(&mut self, part: &[u8]) -> Result<SplitPart, EventTooLong> {
        self.carry.extend_from_slice(part);
        let mut passed = BytesMut::new();
        let mut events = 0;
        while let Some(end) = event_end(&self.carry) {
            let event = self.carry.split_to(end);
            if self.take_event(&event) {
                passed.extend_from_slice(&event);
                events += 1;
            }
        }
        if self.carry.len() > EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(SplitPart {
            bytes: passed.freeze(),
            events,
        })
    }

    /// Whether an event is new to the caller.
    fn take_event(&mut self, event: &[u8]) -> bool {
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

/// Where the first event ends: behind its blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for newline in memchr::memchr_iter(b'\n', bytes) {
        let line = &bytes[line_start..newline];
        if line.is_empty() || line == b"\r" {
            return Some(newline + 1);
        }
        line_start = newline + 1;
    }
    None
}

/// The number in an event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
