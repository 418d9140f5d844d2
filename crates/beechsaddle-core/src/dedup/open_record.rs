//! The `open_record` module provides the calls of this router that wait for a record, or were
//! refused one.

use crate::clock::ClockTime;
use crate::names::{RequestKey, RouterIncarnation};

/// A call that waits for its record.
#[derive(Clone, Debug)]
pub(super) struct OpenRecord {
    pub(super) key: RequestKey,
    pub(super) since: ClockTime,
    /// The router that was sent the request and has not replied; it may still create the record.
    pub(super) pending_from: Option<RouterIncarnation>,
    /// Whether the request was sent to another router, even if that has replied.
    pub(super) was_forwarded: bool,
    /// Whether this router commits the record itself.
    pub(super) is_own: bool,
}

/// A call of this router that was refused as not run and has no known record. A record that is
/// found later has to be released.
#[derive(Clone, Debug)]
pub(super) struct RefusedRecord {
    pub(super) key: RequestKey,
    pub(super) since: ClockTime,
}
