//! The `news` module provides what changes in the store: configuration, targets and the routers of the fleet.
//!
//! A few routers of each domain follow the store; the others follow these. Nothing outside this folder learns
//! whether a change came from the store or from a router.

mod follow_call;
mod news_intake;
mod news_relay;
mod relay_server;
mod router_registry;
mod store_follow;
mod store_probe;

pub(super) use follow_call::{FollowAnswer, FollowReply};
pub(super) use news_intake::run_expiry;
pub(super) use news_relay::NewsRelay;
pub(super) use relay_server::serve_follow;
pub(super) use router_registry::run_registration;
pub(super) use store_follow::{SETTLE_WAIT, follow_kind};
pub(super) use store_probe::{StoreHealth, run_probes};
