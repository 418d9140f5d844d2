//! The `peer_codec` module provides crashes and times as routers tell them to each other.

use beechsaddle_core::gateway::{CrashFacts, CrashReport, RequestFingerprint, TargetIncarnation};
use beechsaddle_core::prelude::*;
use beechsaddle_wire::lending_capnp::crash_note;

/// The time so many milliseconds ago.
pub(super) fn time_before(now: ClockTime, age_ms: u64) -> ClockTime {
    ClockTime::from_millis(now.as_millis().saturating_sub(age_ms))
}

/// Writes a crash; what was seen at a time goes out as its age, as clocks of hosts differ.
pub(super) fn write_note(
    mut note: crash_note::Builder<'_>,
    now: ClockTime,
    sighting: &CrashReport,
) {
    let facts = sighting.facts;
    note.set_fingerprint(&sighting.fingerprint.to_bytes());
    note.set_target(sighting.target.name.as_str());
    note.set_started(sighting.target.started.unwrap_or(0));
    note.set_known_before(facts.known_before);
    note.set_run_ms(facts.run_ms);
    note.set_is_cleared(facts.is_cleared);
    note.set_age_ms(now.since(facts.seen_at));
}

/// Reads a crash.
///
/// # Errors
///
/// When the message is malformed.
pub(super) fn read_note(
    note: crash_note::Reader<'_>,
    now: ClockTime,
) -> Result<CrashReport, capnp::Error> {
    let fingerprint = RequestFingerprint::try_from_bytes(note.get_fingerprint()?)
        .ok_or_else(|| capnp::Error::failed("a fingerprint has 16 bytes".to_owned()))?;
    Ok(CrashReport {
        fingerprint,
        target: read_incarnation(note.get_target()?, note.get_started())?,
        facts: CrashFacts {
            known_before: note.get_known_before(),
            run_ms: note.get_run_ms(),
            is_cleared: note.get_is_cleared(),
            seen_at: time_before(now, note.get_age_ms()),
        },
    })
}

/// Reads which start of a target is meant.
///
/// # Errors
///
/// When its name is no text.
pub(super) fn read_incarnation(
    name: capnp::text::Reader<'_>,
    started: u64,
) -> Result<TargetIncarnation, capnp::Error> {
    Ok(TargetIncarnation {
        name: TargetName::new(name.to_str()?),
        started: (started > 0).then_some(started),
    })
}
