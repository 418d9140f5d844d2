//! The `reference_check` module provides the check that entries fit together.

use std::collections::BTreeMap;

use beechsaddle_core::call::KeyDigest;
use beechsaddle_core::catalogue::{
    BudgetDeclaration, CatalogueEntry, EntryId, EntryKind, ModelEntry, ServiceKind, WorkspaceEntry,
};
use beechsaddle_core::prelude::*;

use super::declared_places::DeclaredPlaces;
use super::{DeclaredCatalogue, EntryPlace};
use crate::findings::{FindingList, SourceText};

/// Checks that whatever an entry names is declared, and that no key and no budget has two owners.
pub(super) fn check_references(
    catalogue: &DeclaredCatalogue,
    places: &DeclaredPlaces,
    sources: &[SourceText],
    findings: &mut FindingList,
) {
    let mut check = ReferenceCheck {
        catalogue,
        places,
        sources,
        findings,
        keys: BTreeMap::new(),
    };
    for entry in catalogue.entries.values() {
        match entry {
            CatalogueEntry::Workspace(entry) => check.check_workspace(entry),
            CatalogueEntry::Service(_) => {}
            CatalogueEntry::Model(entry) => check.check_model(entry),
        }
    }
    for budget in catalogue.budgets.values() {
        check.check_budget(budget);
    }
}

struct ReferenceCheck<'a> {
    catalogue: &'a DeclaredCatalogue,
    places: &'a DeclaredPlaces,
    sources: &'a [SourceText],
    findings: &'a mut FindingList,
    keys: BTreeMap<KeyDigest, &'a WorkspaceName>,
}

impl<'a> ReferenceCheck<'a> {
    fn check_workspace(&mut self, entry: &'a WorkspaceEntry) {
        let id = entry_id(EntryKind::Workspace, entry.name.as_str());
        if let Some(budget) = &entry.budget {
            match self.catalogue.budgets.get(budget) {
                None => self.report(
                    &id,
                    format!("names the budget {budget}, which is declared nowhere"),
                ),
                Some(declared) if declared.workspace != entry.name => {
                    let other = &declared.workspace;
                    self.report(
                        &id,
                        format!("names the budget {budget}, which is {other}'s"),
                    );
                }
                Some(_) => {}
            }
        }
        for service in &entry.services {
            self.need_entry(&id, EntryKind::Service, service.as_str(), "service");
        }
        for model in &entry.models {
            self.need_entry(&id, EntryKind::Model, model.as_str(), "model");
        }
        self.check_keys(&id, entry);
    }

    /// A key that two workspaces share would let one spend the other's budgets.
    fn check_keys(&mut self, id: &EntryId, entry: &'a WorkspaceEntry) {
        for digest in &entry.keys {
            if let Some(other) = self.keys.insert(*digest, &entry.name) {
                self.report(id, format!("has a key that the workspace {other} has too"));
            }
        }
    }

    fn check_model(&mut self, entry: &ModelEntry) {
        let id = entry_id(EntryKind::Model, entry.name.as_str());
        let service = entry.service.as_str();
        self.need_entry(&id, EntryKind::Service, service, "service");
        let declared = self
            .catalogue
            .entries
            .get(&entry_id(EntryKind::Service, service));
        if let Some(CatalogueEntry::Service(declared)) = declared
            && declared.kind == ServiceKind::Plain
        {
            let what = format!("names the service {service}, which has no engines");
            self.report(&id, what);
        }
    }

    fn check_budget(&mut self, budget: &BudgetDeclaration) {
        let id = entry_id(EntryKind::Workspace, budget.workspace.as_str());
        let place = self.places.budgets.get(&budget.name).copied();
        let name = &budget.name;
        let workspace = &budget.workspace;
        if !self.catalogue.entries.contains_key(&id) {
            let what = format!(
                "the budget {name} names the workspace {workspace}, which is declared nowhere"
            );
            self.report_at(place, what);
        }
    }

    fn need_entry(&mut self, id: &EntryId, kind: EntryKind, name: &str, word: &str) {
        if !self.catalogue.entries.contains_key(&entry_id(kind, name)) {
            self.report(
                id,
                format!("names the {word} {name}, which is declared nowhere"),
            );
        }
    }

    fn report(&mut self, id: &EntryId, what: String) {
        let place = self.places.entries.get(id).copied();
        self.report_at(place, format!("{} {what}", id.name));
    }

    fn report_at(&mut self, place: Option<EntryPlace>, what: String) {
        if let Some(place) = place {
            self.findings
                .add(&self.sources[place.file], place.offset, what);
        }
    }
}

fn entry_id(kind: EntryKind, name: &str) -> EntryId {
    EntryId {
        kind,
        name: name.to_string(),
    }
}
