//! The `holder_call` module provides what a holder knows of calls that it reserved for.

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
    /// When the entry router last gave a sign of the call.
    pub(super) heard: ClockTime,
    /// Whether its entry router is gone.
    pub(super) is_orphaned: bool,
    /// What was billed provisionally of an orphan.
    pub(super) provisional: Option<u64>,
}

/// A call whose bill is not confirmed by its entry router.
#[derive(Debug)]
pub(super) struct BilledCall {
    pub(super) tokens: u64,
    pub(super) is_durable: bool,
    pub(super) billed_at: ClockTime,
}
