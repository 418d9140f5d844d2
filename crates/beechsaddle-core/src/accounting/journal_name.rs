//! The `journal_name` module provides the names of journals and the keys of their segments.

use crate::names::{HostName, KeyText, ObjectKey, RouterIncarnation};

/// Returns the name of a router's journal. `number` counts the journals of one process; it
/// increases each time the router finds its journal closed.
pub fn journal_name(router: &RouterIncarnation, number: u32) -> KeyText {
    KeyText::new(format!("{router}.{number}"))
}

/// Returns the key of one segment.
pub fn segment_key(journal: &KeyText, number: u64) -> ObjectKey {
    ObjectKey::new(format!("journal/{journal}/{number:010}"))
}

/// Returns the prefix of all segments of one journal.
pub fn journal_prefix(journal: &KeyText) -> ObjectKey {
    ObjectKey::new(format!("journal/{journal}/"))
}

/// Returns the prefix of all journals of one router incarnation.
pub fn router_prefix(router: &RouterIncarnation) -> ObjectKey {
    ObjectKey::new(format!("journal/{router}."))
}

/// Returns the prefix of all journals of all router incarnations of one host.
pub fn host_prefix(host: &HostName) -> ObjectKey {
    ObjectKey::new(format!("journal/{host}@"))
}

/// Parses the key of a segment into the journal's name and the segment's number.
pub fn read_segment_key(key: &ObjectKey) -> Option<(KeyText, u64)> {
    let rest = key.as_str().strip_prefix("journal/")?;
    let (journal, number) = rest.rsplit_once('/')?;
    Some((KeyText::new(journal), number.parse().ok()?))
}

/// Returns the checkpoint from which a reader starts in a journal whose closing segment is
/// `closed`, if every segment whose number is a multiple of `every` is a checkpoint.
pub fn last_checkpoint(closed: u64, every: u64) -> u64 {
    let every = every.max(1);
    closed.saturating_sub(1) / every * every
}

/// Returns the router that owns a journal.
pub fn journal_router(journal: &KeyText) -> Option<RouterIncarnation> {
    let (router, _) = journal.as_str().rsplit_once('.')?;
    let (host, epoch) = router.rsplit_once('@')?;
    Some(RouterIncarnation::new(host, epoch.parse().ok()?))
}
