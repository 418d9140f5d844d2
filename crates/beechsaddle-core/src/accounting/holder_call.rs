//! The `holder_call` module provides the state of calls at the holder that reserved for them.

use crate::clock::ClockTime;
use crate::names::KeyText;
use crate::peer::AdmitRequest;

/// A call with a reservation.
#[derive(Debug)]
pub(super) struct HolderCall {
    pub(super) request: AdmitRequest,
    /// The journal whose mark covers the reservation.
    pub(super) journal: KeyText,
    /// Tokens that the entry router reported.
    pub(super) tokens: u64,
    /// When the entry router last sent a message about the call.
    pub(super) last_seen_at: ClockTime,
    /// Whether the entry router is gone.
    pub(super) is_orphaned: bool,
    /// Tokens billed provisionally, if the call is an orphan.
    pub(super) provisional: Option<u64>,
}

/// A call whose bill is not confirmed by its entry router.
#[derive(Debug)]
pub(super) struct BilledCall {
    pub(super) tokens: u64,
    pub(super) is_durable: bool,
    pub(super) billed_at: ClockTime,
}
