//! The `event_scanner` module provides the scanning of a streamed chat answer while it is relayed.

use beechsaddle_core::call::TokenUsage;
use bytes::{Bytes, BytesMut};
use memchr::{memchr_iter, memmem};
use serde::Deserialize;
use serde::de::IgnoredAny;

use super::buffered_answer::ReportedUsage;

/// Maximum size of a buffered event in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1_024;
/// Payload of the event that ends a stream.
const DONE_PAYLOAD: &[u8] = b"[DONE]";

/// Scans a stream of server-sent events without parsing them, except for the one with the usage.
///
/// Complete events are forwarded as slices of the data that was read. The events that complete the
/// answer, from the usage on, are held back: a caller that has them must be billed.
pub(crate) struct EventScanner {
    include_usage: bool,
    carry: BytesMut,
    tail: BytesMut,
    usage: TokenUsage,
    has_report: bool,
    is_done: bool,
}

/// Meaning of an event for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventKind {
    /// Goes to the caller; `tokens` were counted in it.
    Chunk { tokens: u64 },
    /// Contains only the usage.
    Usage,
    /// Ends the answer.
    Done,
}

/// An event longer than the buffer for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

#[derive(Deserialize)]
struct UsageEvent {
    #[serde(default)]
    choices: Vec<IgnoredAny>,
    usage: Option<ReportedUsage>,
}

impl EventScanner {
    /// Creates a scanner for the start of an answer. With `include_usage` the caller receives the
    /// event with the usage; `input_estimate` is the prompt's usage until the engine reports it.
    pub(crate) fn new(include_usage: bool, input_estimate: u64) -> Self {
        EventScanner {
            include_usage,
            carry: BytesMut::new(),
            tail: BytesMut::new(),
            usage: TokenUsage {
                input: input_estimate,
                output: 0,
            },
            has_report: false,
            is_done: false,
        }
    }

    /// Adds received data and returns the part that may be forwarded now.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if an event exceeds its buffer.
    pub(crate) fn push(&mut self, part: Bytes) -> Result<Bytes, EventTooLong> {
        if self.is_done {
            return Ok(Bytes::new());
        }
        let part = self.join_carry(part);
        let mut start = 0;
        let mut relay_end = 0;
        for newline in memchr_iter(b'\n', &part) {
            let is_blank = matches!(&part[start..newline], b"" | b"\r")
                || matches!(part[start..newline], [.., b'\n'] | [.., b'\n', b'\r']);
            if !is_blank {
                continue;
            }
            let event = &part[start..=newline];
            start = newline + 1;
            if self.process_event(event) {
                relay_end = start;
            }
            if self.is_done {
                break;
            }
        }
        if !self.is_done {
            self.carry.extend_from_slice(&part[start..]);
        }
        // Events after an early usage event are held back; their buffer must not grow with the
        // answer.
        match self.carry.len().max(self.tail.len()) > MAX_EVENT_BYTES {
            true => Err(EventTooLong),
            false => Ok(part.slice(..relay_end)),
        }
    }

    /// Whether the event that ends the answer was received.
    pub(crate) fn is_done(&self) -> bool {
        self.is_done
    }

    /// The usage that the engine reported, or the count so far.
    pub(crate) fn usage(&self) -> TokenUsage {
        self.usage
    }

    /// Returns the held-back events.
    pub(crate) fn take_tail(&mut self) -> Bytes {
        self.tail.split().freeze()
    }

    fn join_carry(&mut self, part: Bytes) -> Bytes {
        if self.carry.is_empty() {
            return part;
        }
        self.carry.extend_from_slice(&part);
        self.carry.split().freeze()
    }

    /// Processes one event; true if it may be forwarded now.
    fn process_event(&mut self, event: &[u8]) -> bool {
        match self.read_event(event) {
            EventKind::Chunk { tokens } => {
                if !self.has_report {
                    self.usage.output += tokens;
                }
                if self.tail.is_empty() {
                    return true;
                }
                self.tail.extend_from_slice(event);
            }
            EventKind::Usage => {
                if self.include_usage {
                    self.tail.extend_from_slice(event);
                }
            }
            EventKind::Done => {
                self.tail.extend_from_slice(event);
                self.is_done = true;
            }
        }
        false
    }

    fn read_event(&mut self, event: &[u8]) -> EventKind {
        let Some(payload) = event_payload(event) else {
            return EventKind::Chunk { tokens: 0 };
        };
        if payload.starts_with(DONE_PAYLOAD) {
            return EventKind::Done;
        }
        if has_usage(payload) && self.read_report(payload) {
            return EventKind::Usage;
        }
        let tokens = u64::from(has_content(payload));
        EventKind::Chunk { tokens }
    }

    /// Reads the usage of an event; true if the event contains nothing else.
    fn read_report(&mut self, payload: &[u8]) -> bool {
        let Ok(event) = serde_json::from_slice::<UsageEvent>(payload) else {
            return false;
        };
        match event.usage {
            None => false,
            Some(usage) => {
                self.usage = usage.into();
                self.has_report = true;
                event.choices.is_empty()
            }
        }
    }
}

/// The `data` field of an event, which other fields may precede.
fn event_payload(event: &[u8]) -> Option<&[u8]> {
    const FIELD: &[u8] = b"data:";
    let data = match event.strip_prefix(FIELD) {
        Some(data) => data,
        None => {
            let offset = memmem::find(event, b"\ndata:")?;
            &event[offset + 1 + FIELD.len()..]
        }
    };
    Some(data.trim_ascii())
}

/// Whether the member `"usage"` has an object as its value.
fn has_usage(payload: &[u8]) -> bool {
    const MEMBER: &[u8] = b"\"usage\"";
    memmem::rfind(payload, MEMBER)
        .is_some_and(|offset| member_value(&payload[offset + MEMBER.len()..]).starts_with(b"{"))
}

/// Whether the event contains generated text. Engines send one event per token.
fn has_content(payload: &[u8]) -> bool {
    const MEMBERS: [&[u8]; 2] = [b"content\"", b"\"arguments\""];
    MEMBERS.iter().any(|member| {
        memmem::find_iter(payload, member).any(|offset| {
            let value = member_value(&payload[offset + member.len()..]);
            value.starts_with(b"\"") && !value.starts_with(b"\"\"")
        })
    })
}

fn member_value(after_name: &[u8]) -> &[u8] {
    let after_name = after_name.trim_ascii_start();
    after_name
        .strip_prefix(b":")
        .unwrap_or_default()
        .trim_ascii_start()
}
