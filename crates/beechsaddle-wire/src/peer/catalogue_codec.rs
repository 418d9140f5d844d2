//! The `catalogue_codec` module provides the encoding of catalogue updates.
//!
//! Changes and bases are sent in the CBOR encoding in which the platform stores them. Their many
//! fields grow with what operators may declare. A second description of them in the Cap'n Proto
//! schema would have to be kept consistent with the first; a mistake would give two routers
//! different catalogues of the same revision.

use beechsaddle_core::catalogue::{CatalogueBase, CatalogueChange};
use beechsaddle_core::objects::PlatformObject;

use super::limits::CHANGES_MAX;
use super::text_codec::check_count;
use crate::error::{Result, WireError};
use crate::peer_capnp;
use crate::platform_codec::{decode_object, encode_object};

/// Entries per part of a base, so that a part stays below the size limit of a stored object.
const PART_ENTRIES: usize = 1_000;

/// Encodes an update.
pub(super) fn write_update(
    base: Option<&CatalogueBase>,
    changes: &[CatalogueChange],
    mut builder: peer_capnp::catalogue_update::Builder<'_>,
) -> Result<()> {
    if let Some(base) = base {
        let parts = encode_parts(base)?;
        let count = check_count(parts.len(), CHANGES_MAX)?;
        let mut list = builder.reborrow().init_base(count);
        for (index, part) in (0..count).zip(&parts) {
            list.set(index, part);
        }
    }
    let count = check_count(changes.len(), CHANGES_MAX)?;
    let mut list = builder.init_changes(count);
    for (index, change) in (0..count).zip(changes) {
        let object = PlatformObject::Change(change.clone());
        list.set(index, &encode_object(&object)?);
    }
    Ok(())
}

/// Decodes an update.
pub(super) fn read_update(
    reader: peer_capnp::catalogue_update::Reader<'_>,
) -> Result<(Option<Box<CatalogueBase>>, Vec<CatalogueChange>)> {
    let base = match reader.has_base() {
        true => Some(Box::new(read_base(reader.get_base()?)?)),
        false => None,
    };
    let list = reader.get_changes()?;
    check_count(list.len() as usize, CHANGES_MAX)?;
    let mut changes = Vec::new();
    for item in list.iter() {
        changes.push(read_change(item?)?);
    }
    Ok((base, changes))
}

// An empty base has one empty part, which carries its revision.
fn encode_parts(base: &CatalogueBase) -> Result<Vec<Vec<u8>>> {
    let mut chunks: Vec<&[_]> = base.entries.chunks(PART_ENTRIES).collect();
    if chunks.is_empty() {
        chunks.push(&[]);
    }
    chunks
        .into_iter()
        .map(|entries| {
            let part = CatalogueBase {
                revision: base.revision,
                entries: entries.to_vec(),
            };
            encode_object(&PlatformObject::Base(part))
        })
        .collect()
}

fn read_base(list: capnp::data_list::Reader<'_>) -> Result<CatalogueBase> {
    check_count(list.len() as usize, CHANGES_MAX)?;
    let mut base: Option<CatalogueBase> = None;
    for item in list.iter() {
        let part = read_part(item?)?;
        match &mut base {
            None => base = Some(part),
            // Joined parts of two revisions would form a catalogue that was never declared.
            Some(base) if base.revision != part.revision => {
                return Err(WireError::Decode(
                    "base has parts of two revisions".to_owned(),
                ));
            }
            Some(base) => base.entries.extend(part.entries),
        }
    }
    base.ok_or_else(|| WireError::Decode("base has no parts".to_owned()))
}

fn read_part(bytes: &[u8]) -> Result<CatalogueBase> {
    match decode_object(bytes)? {
        PlatformObject::Base(part) => Ok(part),
        _ => Err(WireError::Decode("not a part of a base".to_owned())),
    }
}

fn read_change(bytes: &[u8]) -> Result<CatalogueChange> {
    match decode_object(bytes)? {
        PlatformObject::Change(change) => Ok(change),
        _ => Err(WireError::Decode("not a catalogue change".to_owned())),
    }
}
