//! The `operator` module provides what operators' commands do at the platform.
//!
//! What an edit means is decided by pure functions on what was read; the rest carries it out and
//! survives lost answers.

mod admin_client;
mod apply_options;
mod apply_outcome;
mod apply_run;
mod base_writer;
mod catalogue_history;
mod declared_item;
mod edit_plan;
mod ledger_book;
mod ledger_edit;
mod object_store;
mod operator_error;
mod statement;
mod wait_run;

pub use admin_client::{AdminClient, StatusReply};
pub use apply_options::ApplyOptions;
pub use apply_outcome::ApplyOutcome;
pub use apply_run::{ApplyRun, diff_catalogue, newest_revision, read_declared};
pub use catalogue_history::CatalogueHistory;
pub use declared_item::{DeclaredItem, ItemId};
pub use edit_plan::{EditConflict, EditPlan, EditScene, MissingEdit, plan_edits};
pub use ledger_book::LedgerBook;
pub use ledger_edit::{LedgerRefusal, declaration_of, edit_ledger};
pub use object_store::{ObjectStore, StoreCaller, WriteOutcome};
pub use operator_error::{OperatorError, Result};
pub use statement::{BillLine, BudgetLine, WorkspaceStatement};
pub use wait_run::{WaitOutcome, wait_in_force};
