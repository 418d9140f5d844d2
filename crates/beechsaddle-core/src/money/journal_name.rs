//! The `journal_name` module provides the names of journals and the keys of their segments.

use crate::names::{KeyText, ObjectKey, RouterIncarnation};

/// Every segment whose number is a multiple of this is a checkpoint: a reader needs the segments
/// from the last checkpoint on and none before.
pub const CHECKPOINT_EVERY: u64 = 64;

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

/// Reads a journal's name and a segment's number from a segment's key.
pub fn read_segment_key(key: &ObjectKey) -> Option<(KeyText, u64)> {
    let rest = key.as_str().strip_prefix("journal/")?;
    let (journal, number) = rest.rsplit_once('/')?;
    Some((KeyText::new(journal), number.parse().ok()?))
}

/// The checkpoint that a reader of a journal closed at `closed` starts from.
pub fn last_checkpoint(closed: u64) -> u64 {
    closed.saturating_sub(1) / CHECKPOINT_EVERY * CHECKPOINT_EVERY
}

/// The router whose journal this is.
pub fn journal_router(journal: &KeyText) -> Option<RouterIncarnation> {
    let (router, _) = journal.as_str().rsplit_once('.')?;
    let (host, epoch) = router.rsplit_once('@')?;
    Some(RouterIncarnation::new(host, epoch.parse().ok()?))
}
