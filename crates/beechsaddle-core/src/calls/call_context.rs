//! The `call_context` module provides the parts of the core that the call life cycle uses.

use crate::accounting::AccountingManager;
use crate::admission::{AdmissionGate, RetryPolicy};
use crate::catalogue::CatalogueView;
use crate::dedup::DedupManager;
use crate::members::MemberTable;
use crate::outbox::CoreOutbox;
use crate::targets::TargetTable;

/// The other parts of the core, borrowed for one event.
pub struct CallContext<'a> {
    /// The catalogue in effect.
    pub view: &'a CatalogueView,
    /// The routers of the domain.
    pub members: &'a MemberTable,
    /// Budgets and bills.
    pub accounting: &'a mut AccountingManager,
    /// Dedup records.
    pub dedup: &'a mut DedupManager,
    pub targets: &'a mut TargetTable,
    /// Limits and load shedding.
    pub gate: &'a mut AdmissionGate,
    pub retries: &'a mut RetryPolicy,
    /// Collects the actions.
    pub outbox: &'a mut CoreOutbox,
}
