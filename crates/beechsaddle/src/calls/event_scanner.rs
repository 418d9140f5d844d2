//! The `event_scanner` module provides the reading of a streamed chat answer as it passes.

use beechsaddle_core::call::TokenUsage;
use bytes::{Bytes, BytesMut};
use memchr::{memchr_iter, memmem};
use serde::Deserialize;
use serde::de::IgnoredAny;

use super::whole_answer::ReportedUsage;

/// The longest event that is waited for, in bytes.
const EVENT_BYTES: usize = 256 * 1_024;
/// The payload of the last event.
const DONE_PAYLOAD: &[u8] = b"[DONE]";

/// Scans a stream of server-sent events without parsing them, except for the one with the usage.
///
/// Whole events pass on as slices of what was read. The events that make the answer whole, from
/// the usage on, are held back: once the caller has them the call must be billed for certain.
pub(crate) struct EventScanner {
    include_usage: bool,
    carry: BytesMut,
    tail: BytesMut,
    usage: TokenUsage,
    has_report: bool,
    is_done: bool,
}

/// What an event means for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventKind {
    /// Goes to the caller; `tokens` were counted in it.
    Chunk { tokens: u64 },
    /// Carries only the usage.
    Usage,
    /// Ends the answer.
    Done,
}

/// An event that does not end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

#[derive(Deserialize)]
struct UsageEvent {
    #[serde(default)]
    choices: Vec<IgnoredAny>,
    usage: Option<ReportedUsage>,
}

impl EventScanner {
    /// A scanner at the start of an answer; `include_usage` says whether the caller wants to see
    /// the event with the usage, and `input_estimate` counts for the prompt until the engine says.
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

    /// Takes what was read and returns what may go to the caller now.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] when an event exceeds the memory set aside for it.
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
            if self.take_event(event) {
                relay_end = start;
            }
            if self.is_done {
                break;
            }
        }
        if !self.is_done {
            self.carry.extend_from_slice(&part[start..]);
        }
        // What follows an early event of usage is held back; it must not grow with the answer.
        match self.carry.len().max(self.tail.len()) > EVENT_BYTES {
            true => Err(EventTooLong),
            false => Ok(part.slice(..relay_end)),
        }
    }

    /// Whether the event that ends the answer has come.
    pub(crate) fn is_done(&self) -> bool {
        self.is_done
    }

    /// The usage that the engine reported, or what was counted so far.
    pub(crate) fn usage(&self) -> TokenUsage {
        self.usage
    }

    /// What was held back.
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

    /// Takes one event; true when it may go to the caller now.
    fn take_event(&mut self, event: &[u8]) -> bool {
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

    /// Reads the usage of an event; true when there is nothing else in it.
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

/// The data of an event, whose other fields may stand before it.
fn event_payload(event: &[u8]) -> Option<&[u8]> {
    const FIELD: &[u8] = b"data:";
    let data = match event.strip_prefix(FIELD) {
        Some(data) => data,
        None => {
            let place = memmem::find(event, b"\ndata:")?;
            &event[place + 1 + FIELD.len()..]
        }
    };
    Some(data.trim_ascii())
}

/// Whether the member `"usage"` has an object as its value.
fn has_usage(payload: &[u8]) -> bool {
    const MEMBER: &[u8] = b"\"usage\"";
    memmem::rfind(payload, MEMBER)
        .is_some_and(|place| member_value(&payload[place + MEMBER.len()..]).starts_with(b"{"))
}

/// Whether the event carries generated text. Engines send an event for each token.
fn has_content(payload: &[u8]) -> bool {
    const MEMBERS: [&[u8]; 2] = [b"content\"", b"\"arguments\""];
    MEMBERS.iter().any(|member| {
        memmem::find_iter(payload, member).any(|place| {
            let value = member_value(&payload[place + member.len()..]);
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
