//! The `admission_pass` module provides the part of the limits that an admitted call holds.

use crate::catalogue::EntryId;
use crate::clock::ClockTime;

/// The part of the limits that an admitted call holds. It is released once, when the call ends.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the limits stay taken until the pass is handed back"]
pub struct AdmissionPass {
    /// The entries whose limits the call counts against.
    pub(super) entries: Vec<EntryId>,
    /// The maximum number of tokens that the call can use.
    pub(super) tokens: u64,
    pub(super) admitted: ClockTime,
}
