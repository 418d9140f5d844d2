//! The `catalogue_entry` module provides what operators declare.
//!
//! Budgets are declared in the same files, but live in the ledger: see `accounting`.

use serde::{Deserialize, Serialize};

use crate::call::KeyDigest;
use crate::names::{BudgetName, ModelName, OwnerName, ServiceName, WorkspaceName};
use crate::target::EngineRole;

/// The kinds of entries that every router knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    /// A workspace.
    Workspace,
    /// A service.
    Service,
    /// A model.
    Model,
}

/// Names one entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryId {
    /// Its kind.
    pub kind: EntryKind,
    /// Its name.
    pub name: String,
}

/// How early load of an entry is shed: the lowest class first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EntryClass {
    /// Shed first.
    Batch,
    /// Shed after batch.
    #[default]
    Standard,
    /// Shed last.
    Critical,
}

/// Limits of an entry, over all routers of a domain; `None` is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryLimits {
    /// Calls at a time.
    pub concurrency: Option<u32>,
    /// Calls a second.
    pub requests_per_second: Option<u32>,
    /// Tokens a minute.
    pub tokens_per_minute: Option<u64>,
}

/// What every entry has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHeader {
    /// Who answers for it.
    pub owner: OwnerName,
    /// How early its load is shed.
    pub class: EntryClass,
    /// Its limits.
    pub limits: EntryLimits,
}

/// One entry of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogueEntry {
    /// A workspace.
    Workspace(WorkspaceEntry),
    /// A service.
    Service(ServiceEntry),
    /// A model.
    Model(ModelEntry),
}

/// A party that calls services and spends budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceEntry {
    /// Owner, class and limits.
    pub header: EntryHeader,
    /// Its name.
    pub name: WorkspaceName,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// The budget of calls that name none. Every other budget is known to the ledger alone: a
    /// router that kept the names of all of them would outgrow its memory.
    pub budget: Option<BudgetName>,
    /// Services it may call.
    pub services: Vec<ServiceName>,
    /// Models it may use.
    pub models: Vec<ModelName>,
}

/// What kind of targets a service has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines.
    Engine,
    /// Plain HTTP targets.
    Plain,
}

/// A group of alike targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Owner, class and limits.
    pub header: EntryHeader,
    /// Its name.
    pub name: ServiceName,
    /// What kind of targets it has.
    pub kind: ServiceKind,
    /// Whether its calls may be repeated, unless a call says otherwise.
    pub repeatable: bool,
    /// What a call to a plain service costs, in tokens.
    pub call_cost: u64,
    /// How long a target may take to the head of its answer, in milliseconds.
    pub head_timeout_ms: u64,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Owner, class and limits.
    pub header: EntryHeader,
    /// Its name.
    pub name: ModelName,
    /// The service whose engines serve it.
    pub service: ServiceName,
    /// Its version.
    pub version: u64,
    /// Adapters that are loaded with it.
    pub adapters: Vec<String>,
    /// The role of its engines.
    pub role: EngineRole,
    /// The `max_tokens` of a call that names none, and the largest allowed.
    pub output_limit: u64,
}

impl CatalogueEntry {
    /// The entry's kind and name.
    pub fn id(&self) -> EntryId {
        match self {
            CatalogueEntry::Workspace(entry) => EntryId {
                kind: EntryKind::Workspace,
                name: entry.name.to_string(),
            },
            CatalogueEntry::Service(entry) => EntryId {
                kind: EntryKind::Service,
                name: entry.name.to_string(),
            },
            CatalogueEntry::Model(entry) => EntryId {
                kind: EntryKind::Model,
                name: entry.name.to_string(),
            },
        }
    }

    /// The entry's owner, class and limits.
    pub fn header(&self) -> &EntryHeader {
        match self {
            CatalogueEntry::Workspace(entry) => &entry.header,
            CatalogueEntry::Service(entry) => &entry.header,
            CatalogueEntry::Model(entry) => &entry.header,
        }
    }
}
