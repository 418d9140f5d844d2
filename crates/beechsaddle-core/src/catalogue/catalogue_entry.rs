//! The `catalogue_entry` module provides the entries that operators declare.
//!
//! Budgets are declared in the same files, but are stored in the ledger: see the accounting module.

use serde::{Deserialize, Serialize};

use crate::call::KeyDigest;
use crate::names::{BudgetName, ModelName, OwnerName, ServiceName, WorkspaceName};
use crate::target::EngineRole;

/// The kinds of entries that every router has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    Workspace,
    Service,
    Model,
}

/// Identifies one entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryId {
    pub kind: EntryKind,
    pub name: String,
}

/// The order in which load is shed: the lowest class first.
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

/// Limits of an entry, over all routers of a domain; `None` means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryLimits {
    /// Concurrent calls.
    pub concurrency: Option<u32>,
    /// Calls per second.
    pub requests_per_second: Option<u32>,
    /// Tokens per minute.
    pub tokens_per_minute: Option<u64>,
}

/// The fields that all entries share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHeader {
    /// The person or team responsible for the entry.
    pub owner: OwnerName,
    /// The class by which the entry's load is shed.
    pub class: EntryClass,
    pub limits: EntryLimits,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogueEntry {
    Workspace(WorkspaceEntry),
    Service(ServiceEntry),
    Model(ModelEntry),
}

/// A party that calls services and spends budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceEntry {
    pub header: EntryHeader,
    pub name: WorkspaceName,
    /// Digests of the workspace's keys.
    pub keys: Vec<KeyDigest>,
    /// The default budget. Other budgets are only in the ledger: the names of all budgets would
    /// exceed a router's memory.
    pub budget: Option<BudgetName>,
    /// The services that the workspace may call.
    pub services: Vec<ServiceName>,
    /// The models that the workspace may use.
    pub models: Vec<ModelName>,
}

/// The kind of targets of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines.
    Engine,
    /// Plain HTTP targets.
    Plain,
}

/// A group of equivalent targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    pub header: EntryHeader,
    pub name: ServiceName,
    pub kind: ServiceKind,
    /// Whether calls may be repeated, unless a call overrides it.
    pub repeatable: bool,
    /// The cost of a call to a plain service, in tokens.
    pub call_cost: u64,
    /// How long a target may take until the head of its answer, in milliseconds.
    pub head_timeout_ms: u64,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    pub header: EntryHeader,
    pub name: ModelName,
    /// The service whose engines serve the model.
    pub service: ServiceName,
    pub version: u64,
    /// Adapters that are loaded with the model.
    pub adapters: Vec<String>,
    /// The role of the model's engines.
    pub role: EngineRole,
    /// The default and the maximum `max_tokens` of a call.
    pub output_limit: u64,
}

impl CatalogueEntry {
    /// Returns the entry's kind and name.
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

    /// Returns the entry's owner, class and limits.
    pub fn header(&self) -> &EntryHeader {
        match self {
            CatalogueEntry::Workspace(entry) => &entry.header,
            CatalogueEntry::Service(entry) => &entry.header,
            CatalogueEntry::Model(entry) => &entry.header,
        }
    }
}
