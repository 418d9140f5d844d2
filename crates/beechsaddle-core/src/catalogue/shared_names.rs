//! The `shared_names` module provides interning of names that many entries share.

use std::collections::BTreeSet;

use super::{CatalogueEntry, EntryHeader};
use crate::names::{ModelName, OwnerName, ServiceName};

/// Interned names of owners, services and models.
///
/// Decoding allocates every name that it reads: thousands of workspaces would each hold a copy of
/// the same few names.
#[derive(Clone, Debug, Default)]
pub(super) struct SharedNames {
    owners: BTreeSet<OwnerName>,
    services: BTreeSet<ServiceName>,
    models: BTreeSet<ModelName>,
}

impl SharedNames {
    /// Replaces the names of an entry by interned ones.
    pub fn share(&mut self, entry: &mut CatalogueEntry) {
        match entry {
            CatalogueEntry::Workspace(entry) => {
                self.share_owner(&mut entry.header);
                for service in &mut entry.services {
                    share(&mut self.services, service);
                }
                for model in &mut entry.models {
                    share(&mut self.models, model);
                }
            }
            CatalogueEntry::Service(entry) => {
                self.share_owner(&mut entry.header);
                share(&mut self.services, &mut entry.name);
            }
            CatalogueEntry::Model(entry) => {
                self.share_owner(&mut entry.header);
                share(&mut self.models, &mut entry.name);
                share(&mut self.services, &mut entry.service);
            }
        }
    }

    fn share_owner(&mut self, header: &mut EntryHeader) {
        share(&mut self.owners, &mut header.owner);
    }
}

fn share<T: Ord + Clone>(known: &mut BTreeSet<T>, name: &mut T) {
    match known.get(name) {
        Some(shared) => *name = shared.clone(),
        None => {
            known.insert(name.clone());
        }
    }
}
