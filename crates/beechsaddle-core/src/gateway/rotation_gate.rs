//! The `rotation_gate` module provides the decision whether a router accepts new callers from the
//! load balancer.

use crate::clock::ClockTime;

/// How long a router with a full link accepts no new callers at first, in milliseconds. Its callers
/// move after the two health checks that the balancer needs, and their requests have ended by then.
const OUT_INITIAL_MS: u64 = 8_000;

/// The longest time for which it accepts none, in milliseconds.
const OUT_MAX_MS: u64 = 64_000;

/// How long a link must be full without interruption before its router leaves the rotation, in
/// milliseconds.
const FULL_LINK_MS: u64 = 1_000;

/// How long a router must have been in rotation without a full link before the next withdrawal is
/// short again, in milliseconds.
const RESET_MS: u64 = 60_000;

/// Whether a router is in the balancer's rotation, by the load of its own link.
///
/// A caller whose hash selects a router with a narrow link stays there and fails repeatedly, while
/// dozens of other routers are idle. Withdrawing the router moves the caller to another one. The
/// caller returns when the router does, so each withdrawal is longer than the last.
#[derive(Clone, Copy, Debug, Default)]
pub struct RotationGate {
    full_since: Option<ClockTime>,
    out_until: ClockTime,
    withdrawals: u32,
}

impl RotationGate {
    /// Records whether the link is full now; returns whether the router has just left the rotation.
    pub fn record(&mut self, now: ClockTime, is_full: bool) -> bool {
        if !is_full {
            self.full_since = None;
            return false;
        }
        let since = *self.full_since.get_or_insert(now);
        if self.is_out_of_rotation(now) || now.since(since) < FULL_LINK_MS {
            return false;
        }
        if now.since(self.out_until) >= RESET_MS {
            self.withdrawals = 0;
        }
        let span_ms = (OUT_INITIAL_MS << self.withdrawals.min(8)).min(OUT_MAX_MS);
        self.out_until = now.plus_ms(span_ms);
        self.withdrawals += 1;
        true
    }

    /// Whether the router accepts no new callers.
    pub fn is_out_of_rotation(&self, now: ClockTime) -> bool {
        now < self.out_until
    }
}
