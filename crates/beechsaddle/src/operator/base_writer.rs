//! The `base_writer` module provides the writing of catalogue snapshots (bases), so that a router
//! need not read every change.

use beechsaddle_core::catalogue::{
    CatalogueBase, CatalogueEntry, CatalogueHead, CatalogueView, HEAD_KEY, base_key,
};
use beechsaddle_core::names::ObjectKey;
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::platform::WriteGuard;
use beechsaddle_wire::encode_object;

use super::{ObjectStore, OperatorError, Result, StoreCaller, WriteOutcome};

/// The number of revisions after which a new base is written.
const REVISIONS_PER_BASE: u64 = 64;

/// The largest part, in bytes: below the platform's limit of 1 MB for an object, with room for its
/// name and length.
const PART_BYTES_MAX: usize = 900_000;

/// The upper bound for the bytes of a part beside its entries.
const PART_HEAD_BYTES: usize = 256;

/// Writes a base if the newest one is old enough. Older bases and all changes are retained.
pub(super) async fn refresh_base<S: ObjectStore>(
    caller: &StoreCaller<'_, S>,
    view: &CatalogueView,
) -> Result<()> {
    let key = ObjectKey::new(HEAD_KEY);
    let (guard, newest) = match caller.read(&key).await? {
        None => (WriteGuard::Absent, 0),
        Some(stored) => match stored.object {
            PlatformObject::Head(head) => (WriteGuard::Version(stored.version), head.revision),
            _ => return Err(OperatorError::Corrupt(key)),
        },
    };
    if view.revision() < newest.saturating_add(REVISIONS_PER_BASE) {
        return Ok(());
    }
    let parts = split_base(view);
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    // Part 0 is written last, so that its presence marks a complete base. Two operators that write
    // the same base at the same time write identical parts.
    for (number, part) in parts.into_iter().enumerate().rev() {
        let number = u32::try_from(number).unwrap_or(u32::MAX);
        let key = base_key(view.revision(), number);
        let object = PlatformObject::Base(part);
        match caller.write(&key, object, WriteGuard::Absent).await? {
            WriteOutcome::Written | WriteOutcome::Conflict => {}
            // The next apply finds the head as old as now and writes the base again.
            WriteOutcome::Unknown => return Ok(()),
        }
    }
    let head = CatalogueHead {
        revision: view.revision(),
        parts: count,
    };
    caller
        .write(&key, PlatformObject::Head(head), guard)
        .await?;
    Ok(())
}

fn split_base(view: &CatalogueView) -> Vec<CatalogueBase> {
    let mut parts = Vec::new();
    let mut part = empty_part(view);
    let mut bytes = PART_HEAD_BYTES;
    for entry in view.entries().into_values() {
        let size = entry_bytes(&entry);
        if bytes + size > PART_BYTES_MAX && !part.entries.is_empty() {
            parts.push(std::mem::replace(&mut part, empty_part(view)));
            bytes = PART_HEAD_BYTES;
        }
        part.entries.push(entry);
        bytes += size;
    }
    parts.push(part);
    parts
}

fn empty_part(view: &CatalogueView) -> CatalogueBase {
    CatalogueBase {
        revision: view.revision(),
        entries: Vec::new(),
    }
}

/// Returns the encoded size of a part that holds this entry alone, slightly more than the entry
/// itself takes.
fn entry_bytes(entry: &(u64, CatalogueEntry)) -> usize {
    let part = CatalogueBase {
        revision: entry.0,
        entries: vec![entry.clone()],
    };
    encode_object(&PlatformObject::Base(part)).map_or(PART_BYTES_MAX, |bytes| bytes.len())
}
