//! The `room_withdrawal` module provides the decision whether a router that sheds calls leaves the
//! load balancer's rotation.

use crate::clock::ClockTime;
use crate::hash::stable_hash;
use crate::names::HostName;

/// How long a router must shed calls without interruption before it leaves the rotation, in
/// milliseconds: longer than a single burst of prompts.
const SHEDDING_MS: u64 = 500;

/// The longest further time by which hosts that begin to shed at once differ, in milliseconds: half
/// the interval of the balancer's health checks.
const STAGGER_MS: u64 = 500;

/// How long a router that leaves the rotation stays out at first, in milliseconds. Its callers move
/// after the two health checks that the balancer needs, and their requests have ended by then.
const OUT_INITIAL_MS: u64 = 8_000;

/// The longest time for which it stays out, in milliseconds.
const OUT_MAX_MS: u64 = 64_000;

/// How long a router must have been in rotation before the next withdrawal is short again, in
/// milliseconds.
const RESET_MS: u64 = 60_000;

/// How long the balancer needs at most to move callers, in milliseconds: two health checks, and the
/// answers on open connections.
const MOVED_MS: u64 = 5_000;

/// How long a router stays in rotation after a withdrawal that moved no callers, in milliseconds:
/// most of its domain is out, which lasts for a whole burst.
const STAY_MS: u64 = 30_000;

/// Whether a router that sheds calls is in the balancer's rotation.
///
/// If callers do not move although the router has left, more than half of the routers of its domain
/// are out and the balancer uses all. The router then returns, so that connections are kept again.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoomWithdrawal {
    shedding_since: Option<ClockTime>,
    left_at: ClockTime,
    out_until: ClockTime,
    stays_until: ClockTime,
    withdrawals: u32,
}

impl RoomWithdrawal {
    /// Records whether the router sheds calls now; returns whether it has just left the rotation.
    pub fn record(&mut self, now: ClockTime, host: &HostName, is_shedding: bool) -> bool {
        if !is_shedding {
            self.shedding_since = None;
            return false;
        }
        let since = *self.shedding_since.get_or_insert(now);
        if self.is_out(now) {
            self.end_without_effect(now);
            return false;
        }
        let wait_ms = SHEDDING_MS + stagger_ms(host, since);
        if now < self.stays_until || now.since(since) < wait_ms {
            return false;
        }
        if now.since(self.out_until) >= RESET_MS {
            self.withdrawals = 0;
        }
        let span_ms = (OUT_INITIAL_MS << self.withdrawals.min(8)).min(OUT_MAX_MS);
        self.left_at = now;
        self.out_until = now.plus_ms(span_ms);
        self.withdrawals += 1;
        true
    }

    /// Whether the router accepts no new callers.
    pub fn is_out(&self, now: ClockTime) -> bool {
        now < self.out_until
    }

    fn end_without_effect(&mut self, now: ClockTime) {
        if now.since(self.left_at) >= MOVED_MS {
            self.out_until = now;
            self.stays_until = now.plus_ms(STAY_MS);
        }
    }
}

/// Returns the further time for which a host waits, which differs by host and by the time at which
/// it began to shed.
fn stagger_ms(host: &HostName, since: ClockTime) -> u64 {
    let round = since.as_millis() / OUT_MAX_MS;
    stable_hash(format!("{host} {round}")) % STAGGER_MS
}
