//! The `router_options` module provides the settings of all duties of one router.

use crate::accounting::AccountingOptions;
use crate::admission::{AdmissionOptions, RetryOptions};
use crate::calls::CallOptions;
use crate::catalogue::CatalogueOptions;
use crate::members::MemberOptions;
use crate::objects::FleetLayout;
use crate::once::OnceOptions;
use crate::orders::OrderOptions;
use crate::prelude::*;
use crate::targets::TargetOptions;

/// The settings of all duties of one router.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// This life of the router.
    pub me: RouterIncarnation,
    /// Its domain.
    pub domain: DomainName,
    /// Where its peers reach it, as `address:port`.
    pub peer_address: String,
    /// Seeds the choices that are made at random.
    pub seed: u64,
    /// The layout of the fleet if it is new; an existing one keeps its own.
    pub layout: FleetLayout,
    /// Calls.
    pub calls: CallOptions,
    /// Budgets and bills.
    pub accounting: AccountingOptions,
    /// Dedup records.
    pub once: OnceOptions,
    /// Membership.
    pub members: MemberOptions,
    /// The catalogue.
    pub catalogue: CatalogueOptions,
    /// Targets.
    pub targets: TargetOptions,
    /// Limits and shedding.
    pub admission: AdmissionOptions,
    /// Retries.
    pub retries: RetryOptions,
    /// Orders to engines.
    pub orders: OrderOptions,
}
