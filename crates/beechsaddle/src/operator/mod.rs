//! The `operator` module provides the operations of operators' commands on the platform.
//!
//! Pure functions plan an edit from what was read. The other code carries the plan out and
//! tolerates lost responses.

mod admin_client;
mod apply_options;
mod apply_outcome;
mod apply_run;
mod base_writer;
mod catalogue_history;
mod declared_item;
mod edit_plan;
mod ledger_edit;
mod ledger_snapshot;
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
pub use edit_plan::{EditConflict, EditInputs, EditPlan, MissingEdit, plan_edits};
pub use ledger_edit::{LedgerRefusal, declaration_of, edit_ledger};
pub use ledger_snapshot::LedgerSnapshot;
pub use object_store::{ObjectStore, StoreCaller, WriteOutcome};
pub use operator_error::{OperatorError, Result};
pub use statement::{BillLine, BudgetLine, WorkspaceStatement};
pub use wait_run::{WaitOutcome, wait_until_effective};
