//! The `catalogue` module provides the operators' declarations and their application at routers.

mod budget_edit;
mod catalogue_change;
mod catalogue_entry;
mod catalogue_keys;
mod catalogue_log;
mod catalogue_manager;
mod catalogue_options;
mod catalogue_reader;
mod catalogue_view;
mod shared_names;

pub use budget_edit::{BudgetDeclaration, BudgetEdit};
pub use catalogue_change::{CatalogueBase, CatalogueChange, CatalogueHead, EntryEdit};
pub use catalogue_entry::{
    CatalogueEntry, EntryClass, EntryHeader, EntryId, EntryKind, EntryLimits, ModelEntry,
    ServiceEntry, ServiceKind, WorkspaceEntry,
};
pub use catalogue_keys::{CHANGE_PREFIX, HEAD_KEY, base_key, change_key};
pub use catalogue_manager::CatalogueManager;
pub use catalogue_options::CatalogueOptions;
pub use catalogue_view::CatalogueView;
