//! The `limits` module provides the enforcement of rate limits that targets set for all routers
//! together.
//!
//! One router of the fleet issues the permits for such a target; it is chosen by rendezvous hashing
//! over the list of routers. A router with a request for the target first asks it for a permit, and
//! uses other targets while there is none.

mod limit_manager;
mod permit_client;

pub(super) use limit_manager::{LimitManager, PermitRequest, answer_permit_request};
pub(super) use permit_client::{record_limit, request_permit};
