//! The `admission_pass` module provides the proof that a call was admitted.

use crate::catalogue::EntryId;
use crate::clock::ClockTime;

/// What an admitted call holds of the limits. It is handed back once, when the call ends.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the limits stay taken until the pass is handed back"]
pub struct AdmissionPass {
    /// The entries whose limits it counts against.
    pub(super) entries: Vec<EntryId>,
    /// The largest number of tokens that the call can use.
    pub(super) tokens: u64,
    /// When it was admitted.
    pub(super) admitted: ClockTime,
}
