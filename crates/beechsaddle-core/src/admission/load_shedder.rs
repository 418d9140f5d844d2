//! The `load_shedder` module provides shedding by class, the lowest first.

use super::AdmissionOptions;
use crate::catalogue::EntryClass;
use crate::random::SeededRandom;
use crate::targets::ServiceLoad;

/// The least time that an overloaded router asks a caller to stay away, in milliseconds.
const SHED_RETRY_MIN_MS: u64 = 500;

/// The most, in milliseconds.
const SHED_RETRY_MAX_MS: u64 = 30_000;

/// Decides which calls are shed.
#[derive(Debug)]
pub struct LoadShedder {
    mean_call_ms: f64,
}

impl LoadShedder {
    /// A shedder that knows no calls yet.
    pub fn new() -> Self {
        LoadShedder {
            mean_call_ms: 1_000.0,
        }
    }

    /// Notes how long a call took.
    pub fn ended(&mut self, call_ms: u64) {
        self.mean_call_ms += 0.05 * (call_ms as f64 - self.mean_call_ms);
    }

    /// Whether a call is shed, and then after how many milliseconds to come back.
    pub fn shed(
        &self,
        class: EntryClass,
        open_calls: u32,
        load: &ServiceLoad,
        options: &AdmissionOptions,
        random: &mut SeededRandom,
    ) -> Option<u64> {
        let pressure = pressure_of(open_calls, load, options);
        let range = options.shed_range(class);
        if pressure < range.first {
            return None;
        }
        // Between the two marks a growing part is shed. A single mark would let all in and keep all
        // out by turns, and the load would swing with the delay of the reports.
        let width = range.all.saturating_sub(range.first);
        let is_all = pressure >= range.all;
        if !is_all && range.first + random.below(width) >= pressure {
            return None;
        }
        let call_ms = (self.mean_call_ms * pressure as f64 / 1_000.0) as u64;
        let span_ms = call_ms.clamp(SHED_RETRY_MIN_MS, SHED_RETRY_MAX_MS);
        Some(span_ms + random.below(span_ms))
    }
}

/// How near the router or the targets are to their limits, in thousandths.
fn pressure_of(open_calls: u32, load: &ServiceLoad, options: &AdmissionOptions) -> u64 {
    let own = u64::from(open_calls) * 1_000 / u64::from(options.open_calls.max(1));
    let room = u64::from(load.targets) * u64::from(options.waiting_per_target.max(1));
    let waiting = (u64::from(load.waiting) * 1_000)
        .checked_div(room)
        .unwrap_or(0);
    own.max(waiting)
}
