//! The `peer_codec` module provides the encoding of crash reports and times in messages between routers.

use beechsaddle_core::gateway::{CrashFacts, CrashReport, SuspectKey, TargetIncarnation};
use beechsaddle_core::prelude::*;
use beechsaddle_wire::lending_capnp::crash_note;

/// Returns the time `age_ms` milliseconds before `now`.
pub(super) fn time_before(now: ClockTime, age_ms: u64) -> ClockTime {
    ClockTime::from_millis(now.as_millis().saturating_sub(age_ms))
}

/// Encodes a crash report. Times are sent as ages, since the clocks of hosts differ.
pub(super) fn write_crash(
    mut message: crash_note::Builder<'_>,
    now: ClockTime,
    report: &CrashReport,
) {
    let facts = report.facts;
    message.set_fingerprint(&report.key.to_bytes());
    message.set_target(report.target.name.as_str());
    message.set_started(report.target.started.unwrap_or(0));
    message.set_known_before(facts.known_before);
    message.set_run_ms(facts.run_ms);
    message.set_is_cleared(facts.is_cleared);
    message.set_age_ms(now.since(facts.seen_at));
}

/// Decodes a crash report.
///
/// # Errors
///
/// If the message is malformed.
pub(super) fn read_crash(
    message: crash_note::Reader<'_>,
    now: ClockTime,
) -> Result<CrashReport, capnp::Error> {
    let key = read_key(message.get_fingerprint()?)?;
    Ok(CrashReport {
        key,
        target: read_incarnation(message.get_target()?, message.get_started())?,
        facts: CrashFacts {
            known_before: message.get_known_before(),
            run_ms: message.get_run_ms(),
            is_cleared: message.get_is_cleared(),
            seen_at: time_before(now, message.get_age_ms()),
        },
    })
}

/// Decodes the key of a suspect.
///
/// # Errors
///
/// If the message is malformed.
pub(super) fn read_key(bytes: &[u8]) -> Result<SuspectKey, capnp::Error> {
    let key = SuspectKey::try_from_bytes(bytes);
    key.ok_or_else(|| capnp::Error::failed("a fingerprint has 16 bytes".to_owned()))
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
