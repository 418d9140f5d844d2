//! The `fault_picker` module provides the choice of the fault that is injected into a request to a
//! target.

use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::listen_gate::ListenGate;
use super::random_source::RandomSource;
use super::target_faults::{TargetFault, TargetFaults, TargetScope};

/// Chooses faults for requests by the current rules.
pub struct FaultPicker {
    random: RandomSource,
    gate: ListenGate,
    current: Mutex<(Instant, TargetFaults)>,
}

impl FaultPicker {
    /// Creates a picker without faults.
    pub fn new(seed: u64, gate: ListenGate) -> Self {
        FaultPicker {
            random: RandomSource::new(seed),
            gate,
            current: Mutex::new((Instant::now(), TargetFaults::default())),
        }
    }

    /// Replaces all faults; the listener closes for `refuse_ms`, or opens if that is zero.
    pub fn set(&self, faults: TargetFaults) {
        if faults.refuse_ms > 0 {
            self.gate
                .refuse_for(Duration::from_millis(faults.refuse_ms));
        } else {
            self.gate.open();
        }
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        *current = (Instant::now(), faults);
    }

    /// Returns the fault to inject into the next request of a kind, and counts it against the
    /// rule's limit.
    pub fn pick(&self, scope: TargetScope) -> Option<TargetFault> {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let (since, faults) = &mut *current;
        let age_ms = since.elapsed().as_millis() as u64;
        let rule = faults
            .rules
            .iter_mut()
            .filter(|rule| rule.scope == scope && rule.count != Some(0))
            .find(|rule| rule.for_ms.is_none_or(|span| age_ms < span))?;
        if !self.random.draw(rule.permille) {
            return None;
        }
        rule.count = rule.count.map(|left| left.saturating_sub(1));
        Some(rule.fault)
    }
}

impl fmt::Debug for FaultPicker {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FaultPicker")
    }
}
