//! The `catalogue_history` module provides the catalogue at the base of an edit and the changes
//! after it.

use std::collections::{BTreeMap, BTreeSet};

use beechsaddle_core::catalogue::{
    CatalogueBase, CatalogueChange, CatalogueView, EntryEdit, HEAD_KEY, base_key, change_key,
};
use beechsaddle_core::names::ObjectKey;
use beechsaddle_core::objects::PlatformObject;

use super::{DeclaredItem, ItemId, ObjectStore, OperatorError, Result, StoreCaller};

/// The key prefix of bases.
const BASE_PREFIX: &str = "catalogue/base/";

/// The catalogue at the base of an edit, and all changes after it.
#[derive(Clone, Debug, Default)]
pub struct CatalogueHistory {
    /// The catalogue at the base.
    pub base: CatalogueView,
    /// The changes after the base, oldest first.
    pub changes: Vec<CatalogueChange>,
    /// The newest catalogue.
    pub newest: CatalogueView,
}

impl CatalogueHistory {
    /// Reads the catalogue at `revision` and all changes after it.
    pub async fn read<S: ObjectStore>(caller: &StoreCaller<'_, S>, revision: u64) -> Result<Self> {
        let mut base = read_base(caller, revision).await?;
        while base.revision() < revision {
            let Some(change) = read_change(caller, base.revision() + 1).await? else {
                return Err(OperatorError::ForeignBase {
                    base: revision,
                    newest: base.revision(),
                });
            };
            base.apply(&change);
        }
        let mut newest = base.clone();
        let mut changes = Vec::new();
        while let Some(change) = read_change(caller, newest.revision() + 1).await? {
            newest.apply(&change);
            changes.push(change);
        }
        Ok(CatalogueHistory {
            base,
            changes,
            newest,
        })
    }

    /// Reads the newest catalogue, without changes.
    pub async fn read_newest<S: ObjectStore>(caller: &StoreCaller<'_, S>) -> Result<Self> {
        let mut view = read_base(caller, u64::MAX).await?;
        while let Some(change) = read_change(caller, view.revision() + 1).await? {
            view.apply(&change);
        }
        Ok(CatalogueHistory {
            base: view.clone(),
            changes: Vec::new(),
            newest: view,
        })
    }

    /// Returns the change that made a revision, if it came after the base.
    pub fn change(&self, revision: u64) -> Option<&CatalogueChange> {
        self.changes
            .iter()
            .find(|change| change.revision == revision)
    }

    /// Returns the edits of one item after the base, each with its change.
    pub fn edits_of<'a>(
        &'a self,
        id: &'a ItemId,
    ) -> impl Iterator<Item = (&'a CatalogueChange, &'a EntryEdit)> {
        self.changes.iter().flat_map(move |change| {
            let edits = change.edits.iter();
            edits
                .filter(move |edit| ItemId::of_edit(edit) == *id)
                .map(move |edit| (change, edit))
        })
    }

    /// Returns the workspaces, services and models of a catalogue.
    pub fn items_of(view: &CatalogueView) -> BTreeMap<ItemId, DeclaredItem> {
        view.entries()
            .into_iter()
            .map(|(id, (_, entry))| (ItemId::Entry(id), DeclaredItem::Entry(entry)))
            .collect()
    }
}

/// Reads the change that made a revision, if it exists.
pub(super) async fn read_change<S: ObjectStore>(
    caller: &StoreCaller<'_, S>,
    revision: u64,
) -> Result<Option<CatalogueChange>> {
    let key = change_key(revision);
    match caller.read(&key).await?.map(|stored| stored.object) {
        None => Ok(None),
        Some(PlatformObject::Change(change)) => Ok(Some(change)),
        Some(_) => Err(OperatorError::Corrupt(key)),
    }
}

/// Reads the newest base up to a revision, or an empty catalogue if there is none.
async fn read_base<S: ObjectStore>(
    caller: &StoreCaller<'_, S>,
    revision: u64,
) -> Result<CatalogueView> {
    let mut view = CatalogueView::new();
    let Some(newest) = newest_head(caller).await? else {
        return Ok(view);
    };
    let keys = caller.list(ObjectKey::new(BASE_PREFIX)).await?;
    let parts: BTreeSet<(u64, u32)> = keys.iter().filter_map(read_base_key).collect();
    // Part 0 is written last, so a base that has it is complete. A base newer than the head may
    // still be in the middle of being written.
    let chosen = parts
        .iter()
        .filter(|(found, part)| *part == 0 && *found <= revision.min(newest))
        .map(|(found, _)| *found)
        .max();
    let Some(chosen) = chosen else {
        return Ok(view);
    };
    let mut bases: Vec<CatalogueBase> = Vec::new();
    for (_, part) in parts.iter().filter(|(found, _)| *found == chosen) {
        let key = base_key(chosen, *part);
        match caller.read(&key).await?.map(|stored| stored.object) {
            Some(PlatformObject::Base(base)) => bases.push(base),
            Some(_) | None => return Err(OperatorError::Corrupt(key)),
        }
    }
    view.load_base(bases);
    Ok(view)
}

async fn newest_head<S: ObjectStore>(caller: &StoreCaller<'_, S>) -> Result<Option<u64>> {
    let key = ObjectKey::new(HEAD_KEY);
    match caller.read(&key).await?.map(|stored| stored.object) {
        None => Ok(None),
        Some(PlatformObject::Head(head)) => Ok(Some(head.revision)),
        Some(_) => Err(OperatorError::Corrupt(key)),
    }
}

fn read_base_key(key: &ObjectKey) -> Option<(u64, u32)> {
    let rest = key.as_str().strip_prefix(BASE_PREFIX)?;
    let (revision, part) = rest.split_once('/')?;
    Some((revision.parse().ok()?, part.parse().ok()?))
}
