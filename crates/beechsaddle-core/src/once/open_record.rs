//! The `open_record` module provides a call of this router that waits for its record.

use crate::clock::ClockTime;
use crate::names::{RequestKey, RouterIncarnation};

/// A call that waits for its record.
#[derive(Clone, Debug)]
pub(super) struct OpenRecord {
    pub(super) key: RequestKey,
    pub(super) since: ClockTime,
    /// The router that was asked and has not answered: it may still make the record.
    pub(super) asked: Option<RouterIncarnation>,
    /// Whether another router was asked, even if it has answered.
    pub(super) was_asked: bool,
    /// Whether this router commits the record itself.
    pub(super) is_own: bool,
}

/// A call of this router that was refused as not run, and whose record nobody is known to have
/// written. If it is found after all, it has to be released.
#[derive(Clone, Debug)]
pub(super) struct RefusedRecord {
    pub(super) key: RequestKey,
    pub(super) since: ClockTime,
}
