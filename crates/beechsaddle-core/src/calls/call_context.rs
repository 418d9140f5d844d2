//! The `call_context` module provides the duties that a call's life cycle draws on.

use crate::accounting::AccountingManager;
use crate::admission::{AdmissionGate, RetryPolicy};
use crate::catalogue::CatalogueView;
use crate::members::MemberTable;
use crate::once::OnceDesk;
use crate::outbox::CoreOutbox;
use crate::targets::TargetTable;

/// The other duties of the core, borrowed for one event.
pub struct CallContext<'a> {
    /// The catalogue in force.
    pub view: &'a CatalogueView,
    /// The routers of the domain.
    pub members: &'a MemberTable,
    /// Budgets and bills.
    pub accounting: &'a mut AccountingManager,
    /// Dedup records.
    pub once: &'a mut OnceDesk,
    /// Targets.
    pub targets: &'a mut TargetTable,
    /// Limits and shedding.
    pub gate: &'a mut AdmissionGate,
    /// Retries.
    pub retries: &'a mut RetryPolicy,
    /// Where actions go.
    pub outbox: &'a mut CoreOutbox,
}
