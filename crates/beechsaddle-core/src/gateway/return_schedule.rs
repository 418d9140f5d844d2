//! The `return_schedule` module provides when a refused caller should come back.

use super::CallUrgency;

/// The least time until a return in an outage, in milliseconds: routers notice its end up to so
/// much later, and get tokens only then.
const OUTAGE_LEAST_MS: u64 = 1_000;

/// When callers return that found too little for the moment, in milliseconds: after a few writes of
/// a ledger.
const SHORT_MS: u64 = 400;

/// When callers of a router behind a full link return, in milliseconds: the time of a new
/// connection, as it reaches another router.
const FULL_LINK_MS: u64 = 20;

/// The last return to another router, in milliseconds: short against what callers wait for a first
/// event, and long enough that one router's callers do not all arrive in the same instant.
const FULL_LINK_LAST_MS: u64 = 150;

/// The least span over which callers return, in milliseconds.
const SPREAD_LEAST_MS: u64 = 800;

/// The part of the time to its deadline within which a caller returns, in tenths: few callers wait
/// longer before their retry, and the rest is for the answer.
const PATIENCE_TENTHS: u64 = 3;

/// The part of that time over which callers return that cannot wait for the end of a shortage, as a
/// divisor: most have a chance as late as they can come.
const LATEST_SPAN_PARTS: u64 = 4;

/// Why a caller is refused, and what is known of the end of that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnCause {
    /// The store has been silent for `age_ms`, and what routers hold does not cover the call.
    StoreAway { age_ms: u64 },
    /// Deferred tokens cover the call and those that wait before it in `opens_in_ms`.
    Opening { opens_in_ms: u64 },
    /// Too little is at hand at the moment, and the store answers.
    Short,
    /// This router's link is full; the next connection reaches another one.
    LinkFull,
}

/// A caller that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedCaller {
    pub urgency: CallUrgency,
    /// The time to the caller's deadline, in milliseconds; `None` if it is not known.
    pub left_ms: Option<u64>,
    /// A hash of the request, the same for each of its tries.
    pub spread: u64,
}

/// The earliest and latest time of the callers' return, in milliseconds from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReturnWindow {
    first_ms: u64,
    last_ms: u64,
}

/// Computes `Retry-After` so that callers return when they can be served.
///
/// Most callers come back once: one that is refused on its return has lost both tries. All routers
/// compute the same window of a shortage, over which a hash spreads the callers, the most urgent
/// ones in its first half.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnSchedule {
    /// The length of the outages of the store for which tokens are held, in milliseconds.
    pub outage_ms: u64,
}

impl ReturnSchedule {
    /// Returns the time after which a caller should come back, in milliseconds.
    pub fn return_ms(&self, cause: ReturnCause, caller: RefusedCaller) -> u64 {
        let window = self.window(cause).before_deadline(caller.left_ms);
        let half_ms = (window.last_ms - window.first_ms) / 2;
        let first_ms = match caller.urgency {
            CallUrgency::HIGHEST => window.first_ms,
            _ => window.first_ms + half_ms,
        };
        (first_ms + caller.spread % (half_ms + 1)).max(1)
    }

    fn window(&self, cause: ReturnCause) -> ReturnWindow {
        match cause {
            ReturnCause::StoreAway { age_ms } => {
                let rest_ms = self.outage_ms.saturating_sub(age_ms);
                ReturnWindow::from(rest_ms.max(OUTAGE_LEAST_MS))
            }
            ReturnCause::Opening { opens_in_ms } => ReturnWindow::from(opens_in_ms),
            ReturnCause::Short => ReturnWindow::from(SHORT_MS),
            ReturnCause::LinkFull => ReturnWindow {
                first_ms: FULL_LINK_MS,
                last_ms: FULL_LINK_LAST_MS,
            },
        }
    }
}

impl ReturnWindow {
    /// Returns a window that begins after a time and lasts half as long.
    fn from(first_ms: u64) -> Self {
        let span_ms = (first_ms / 2).max(SPREAD_LEAST_MS);
        ReturnWindow {
            first_ms,
            last_ms: first_ms.saturating_add(span_ms),
        }
    }

    /// Returns the window moved forward, and shortened if need be, so that it ends while a caller
    /// still waits and there is time for an answer.
    fn before_deadline(self, left_ms: Option<u64>) -> Self {
        let Some(left_ms) = left_ms else {
            return self;
        };
        let latest_ms = left_ms.saturating_mul(PATIENCE_TENTHS) / 10;
        if self.last_ms <= latest_ms {
            return self;
        }
        let span_ms = (self.last_ms - self.first_ms).min(latest_ms / LATEST_SPAN_PARTS);
        ReturnWindow {
            first_ms: latest_ms - span_ms,
            last_ms: latest_ms,
        }
    }
}
