//! The `catalogue` module provides what operators declare and how it comes into force.

mod catalogue_change;
mod catalogue_entry;
mod catalogue_view;

pub use catalogue_change::{CatalogueBase, CatalogueChange, CatalogueHead, EntryEdit};
pub use catalogue_entry::{
    CatalogueEntry, EntryClass, EntryHeader, EntryId, EntryKind, EntryLimits, ModelEntry,
    ServiceEntry, ServiceKind, WorkspaceEntry,
};
pub use catalogue_view::CatalogueView;
