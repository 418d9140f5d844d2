//! The `load_shedder` module provides load shedding by class, the lowest class first.

use super::AdmissionOptions;
use crate::catalogue::EntryClass;
use crate::random::SeededRandom;
use crate::targets::ServiceLoad;

/// The minimum `Retry-After` of an overloaded router before jitter, in milliseconds.
const SHED_RETRY_MIN_MS: u64 = 500;

/// The maximum `Retry-After` of an overloaded router before jitter, in milliseconds.
const SHED_RETRY_MAX_MS: u64 = 30_000;

/// Decides which calls are shed.
#[derive(Debug)]
pub struct LoadShedder {
    mean_call_ms: f64,
}

impl LoadShedder {
    /// Creates a shedder without measured calls.
    pub fn new() -> Self {
        LoadShedder {
            mean_call_ms: 1_000.0,
        }
    }

    /// Records the duration of a call.
    pub fn ended(&mut self, call_ms: u64) {
        self.mean_call_ms += 0.05 * (call_ms as f64 - self.mean_call_ms);
    }

    /// Returns the `Retry-After` in milliseconds if the call is shed.
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
        // A growing share of calls is shed across the range. A single threshold would alternate
        // between admitting and shedding all calls, and the load would oscillate with the delay of
        // the reports.
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

/// The load of the router or the targets relative to their limits, in thousandths; the higher of
/// the two.
fn pressure_of(open_calls: u32, load: &ServiceLoad, options: &AdmissionOptions) -> u64 {
    let own = u64::from(open_calls) * 1_000 / u64::from(options.open_calls.max(1));
    let room = u64::from(load.targets) * u64::from(options.waiting_per_target.max(1));
    let waiting = (u64::from(load.waiting) * 1_000)
        .checked_div(room)
        .unwrap_or(0);
    own.max(waiting)
}
