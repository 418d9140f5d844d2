//! The `catalogue_keys` module provides where the catalogue is kept at the platform.

use crate::names::ObjectKey;

/// The prefix of all changes.
pub const CHANGE_PREFIX: &str = "catalogue/change/";

/// Where the newest base is named.
pub const HEAD_KEY: &str = "catalogue/head";

/// Where the change is kept that makes a revision. Twelve digits keep the order of keys the order
/// of revisions.
pub fn change_key(revision: u64) -> ObjectKey {
    ObjectKey::new(format!("{CHANGE_PREFIX}{revision:012}"))
}

/// Where a part of the base at a revision is kept.
pub fn base_key(revision: u64, part: u32) -> ObjectKey {
    ObjectKey::new(format!("catalogue/base/{revision:012}/{part}"))
}
