//! The `catalogue_keys` module provides the object keys of the catalogue.

use crate::names::ObjectKey;

/// The prefix of all changes.
pub const CHANGE_PREFIX: &str = "catalogue/change/";

/// The key of the object that names the newest base.
pub const HEAD_KEY: &str = "catalogue/head";

/// Returns the key of the change that creates a revision. Twelve digits make the key order equal
/// the revision order.
pub fn change_key(revision: u64) -> ObjectKey {
    ObjectKey::new(format!("{CHANGE_PREFIX}{revision:012}"))
}

/// Returns the key of a part of the base at a revision.
pub fn base_key(revision: u64, part: u32) -> ObjectKey {
    ObjectKey::new(format!("catalogue/base/{revision:012}/{part}"))
}
