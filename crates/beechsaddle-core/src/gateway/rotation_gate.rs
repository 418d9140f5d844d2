//! The `rotation_gate` module provides whether a router asks for new callers.

use crate::clock::ClockTime;

/// How long a router whose link is full asks for no new callers at first, in milliseconds: its callers
/// move within the two questions that the balancer needs, and what they sent has ended by then.
const FIRST_OUT_MS: u64 = 8_000;

/// The longest that it asks for none, in milliseconds.
const LONGEST_OUT_MS: u64 = 64_000;

/// How long a link must be full without a break before its router asks for none, in milliseconds.
const PRESSED_MS: u64 = 1_000;

/// How long a router must have been in use without a full link before the next time is short again, in
/// milliseconds.
const CALM_MS: u64 = 60_000;

/// Whether a router is in rotation, by how full its own link is.
///
/// A caller whose hash falls on a router with a narrow link stays there and fails again and again, while
/// dozens of other routers are idle. Asking for no new callers moves it to another one. It comes back
/// with the rotation, so each time is longer than the last.
#[derive(Clone, Copy, Debug, Default)]
pub struct RotationGate {
    pressed_since: Option<ClockTime>,
    out_until: ClockTime,
    turns: u32,
}

impl RotationGate {
    /// Takes over whether the link is full now; tells whether the router has just left the rotation.
    pub fn note(&mut self, now: ClockTime, is_full: bool) -> bool {
        if !is_full {
            self.pressed_since = None;
            return false;
        }
        let since = *self.pressed_since.get_or_insert(now);
        if self.is_out(now) || now.since(since) < PRESSED_MS {
            return false;
        }
        if now.since(self.out_until) >= CALM_MS {
            self.turns = 0;
        }
        let span_ms = (FIRST_OUT_MS << self.turns.min(8)).min(LONGEST_OUT_MS);
        self.out_until = now.plus_ms(span_ms);
        self.turns += 1;
        true
    }

    /// Whether the router asks for no new callers.
    pub fn is_out(&self, now: ClockTime) -> bool {
        now < self.out_until
    }
}
