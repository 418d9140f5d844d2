//! The `journal_name` module provides the names of journals and the keys of their segments.

use crate::names::{HostName, KeyText, ObjectKey, RouterIncarnation};

/// The name of a router's journal. `life` grows each time it found its journal closed.
pub fn journal_name(router: &RouterIncarnation, life: u32) -> KeyText {
    KeyText::new(format!("{router}.{life}"))
}

/// The key of one segment.
pub fn segment_key(journal: &KeyText, number: u64) -> ObjectKey {
    ObjectKey::new(format!("journal/{journal}/{number:010}"))
}

/// The prefix of all segments of one journal.
pub fn journal_prefix(journal: &KeyText) -> ObjectKey {
    ObjectKey::new(format!("journal/{journal}/"))
}

/// The prefix of all journals of one router incarnation.
pub fn router_prefix(router: &RouterIncarnation) -> ObjectKey {
    ObjectKey::new(format!("journal/{router}."))
}

/// The prefix of all journals of all router incarnations of one host.
pub fn host_prefix(host: &HostName) -> ObjectKey {
    ObjectKey::new(format!("journal/{host}@"))
}

/// Reads a journal's name and a segment's number from a segment's key.
pub fn read_segment_key(key: &ObjectKey) -> Option<(KeyText, u64)> {
    let rest = key.as_str().strip_prefix("journal/")?;
    let (journal, number) = rest.rsplit_once('/')?;
    Some((KeyText::new(journal), number.parse().ok()?))
}

/// The checkpoint that a reader of a journal closed at `closed` starts from, when every segment
/// whose number is a multiple of `every` is one.
pub fn last_checkpoint(closed: u64, every: u64) -> u64 {
    let every = every.max(1);
    closed.saturating_sub(1) / every * every
}

/// The router whose journal this is.
pub fn journal_router(journal: &KeyText) -> Option<RouterIncarnation> {
    let (router, _) = journal.as_str().rsplit_once('.')?;
    let (host, epoch) = router.rsplit_once('@')?;
    Some(RouterIncarnation::new(host, epoch.parse().ok()?))
}
