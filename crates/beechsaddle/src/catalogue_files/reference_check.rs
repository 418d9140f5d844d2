//! The `reference_check` module provides the check of references between entries.

use std::collections::BTreeMap;

use beechsaddle_core::call::KeyDigest;
use beechsaddle_core::catalogue::{
    BudgetDeclaration, CatalogueEntry, EntryId, EntryKind, ModelEntry, ServiceKind, WorkspaceEntry,
};
use beechsaddle_core::prelude::*;

use super::declared_positions::DeclaredPositions;
use super::{DeclaredCatalogue, EntryPosition};
use crate::findings::{FindingList, SourceText};

/// Checks that every entry that is referenced is declared, and that no two workspaces share a key
/// or a budget.
pub(super) fn check_references(
    catalogue: &DeclaredCatalogue,
    positions: &DeclaredPositions,
    sources: &[SourceText],
    findings: &mut FindingList,
) {
    let mut check = ReferenceCheck {
        catalogue,
        positions,
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
    positions: &'a DeclaredPositions,
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
            self.require_entry(&id, EntryKind::Service, service.as_str(), "service");
        }
        for model in &entry.models {
            self.require_entry(&id, EntryKind::Model, model.as_str(), "model");
        }
        self.check_keys(&id, entry);
    }

    /// Checks that no two workspaces share a key, since one could spend the other's budgets.
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
        self.require_entry(&id, EntryKind::Service, service, "service");
        let declared = self
            .catalogue
            .entries
            .get(&entry_id(EntryKind::Service, service));
        if let Some(CatalogueEntry::Service(declared)) = declared
            && declared.kind == ServiceKind::Plain
        {
            let message = format!("names the service {service}, which has no engines");
            self.report(&id, message);
        }
    }

    fn check_budget(&mut self, budget: &BudgetDeclaration) {
        let id = entry_id(EntryKind::Workspace, budget.workspace.as_str());
        let position = self.positions.budgets.get(&budget.name).copied();
        let name = &budget.name;
        let workspace = &budget.workspace;
        if !self.catalogue.entries.contains_key(&id) {
            let message = format!(
                "the budget {name} names the workspace {workspace}, which is declared nowhere"
            );
            self.report_at(position, message);
        }
    }

    fn require_entry(&mut self, id: &EntryId, kind: EntryKind, name: &str, kind_name: &str) {
        if !self.catalogue.entries.contains_key(&entry_id(kind, name)) {
            self.report(
                id,
                format!("names the {kind_name} {name}, which is declared nowhere"),
            );
        }
    }

    fn report(&mut self, id: &EntryId, message: String) {
        let position = self.positions.entries.get(id).copied();
        self.report_at(position, format!("{} {message}", id.name));
    }

    fn report_at(&mut self, position: Option<EntryPosition>, message: String) {
        if let Some(position) = position {
            self.findings
                .add(&self.sources[position.file], position.offset, message);
        }
    }
}

fn entry_id(kind: EntryKind, name: &str) -> EntryId {
    EntryId {
        kind,
        name: name.to_string(),
    }
}
