//! The `peer_codec` module provides the encoding of times and targets in messages between routers, and
//! their maximum size.

use beechsaddle_core::gateway::TargetIncarnation;
use beechsaddle_core::prelude::*;
use capnp::message::ReaderOptions;

/// Maximum size of a message, in words of 8 bytes: several times that of the largest object of the store,
/// which a message holds at most. It is allocated before the sender is known to be a router.
const MESSAGE_WORDS_MAX: usize = 512 * 1_024;

/// Returns the limits on messages that are read from other routers.
pub(super) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_WORDS_MAX));
    options
}

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
