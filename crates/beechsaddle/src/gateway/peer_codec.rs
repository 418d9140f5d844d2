//! The `peer_codec` module provides the encoding of times and targets in messages between routers.

use beechsaddle_core::gateway::TargetIncarnation;
use beechsaddle_core::prelude::*;

/// Returns the time `age_ms` milliseconds before `now`.
pub(super) fn time_before(now: ClockTime, age_ms: u64) -> ClockTime {
    ClockTime::from_millis(now.as_millis().saturating_sub(age_ms))
}

/// Decodes the incarnation of a target.
///
/// # Errors
///
/// If the name is not valid UTF-8.
pub(super) fn read_incarnation(
    name: capnp::text::Reader<'_>,
    started: u64,
) -> Result<TargetIncarnation, capnp::Error> {
    Ok(TargetIncarnation {
        name: TargetName::new(name.to_str()?),
        started: (started > 0).then_some(started),
    })
}
