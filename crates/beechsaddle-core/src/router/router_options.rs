//! The `router_options` module provides the settings of all parts of one router.

use crate::accounting::AccountingOptions;
use crate::admission::{AdmissionOptions, RetryOptions};
use crate::calls::CallOptions;
use crate::catalogue::CatalogueOptions;
use crate::dedup::DedupOptions;
use crate::members::MemberOptions;
use crate::objects::FleetLayout;
use crate::orders::OrderOptions;
use crate::prelude::*;
use crate::targets::TargetOptions;

/// The settings of all parts of one router.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// This incarnation of the router.
    pub me: RouterIncarnation,
    pub domain: DomainName,
    /// The address for peers, as `address:port`.
    pub peer_address: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// The layout proposed for a new fleet; an existing fleet retains its own.
    pub layout: FleetLayout,
    pub calls: CallOptions,
    /// Budgets and bills.
    pub accounting: AccountingOptions,
    /// Dedup records.
    pub dedup: DedupOptions,
    /// Membership.
    pub members: MemberOptions,
    pub catalogue: CatalogueOptions,
    pub targets: TargetOptions,
    /// Limits and load shedding.
    pub admission: AdmissionOptions,
    pub retries: RetryOptions,
    /// Orders to engines.
    pub orders: OrderOptions,
}
