//! The `changes` module provides what changes in the store: the configuration, the targets and the
//! routers of the fleet.
//!
//! A few routers of each domain, the followers, follow the store, and the others follow these. Code
//! outside this folder does not see whether a change came from the store or from a follower.

mod change_apply;
mod change_relay;
mod config_follow;
mod config_relay;
mod follow_call;
mod outage_follow;
mod relay_server;
mod router_registry;
mod store_follow;
mod store_probe;
mod target_refresh;
mod unreadable_log;

pub(super) use change_apply::{drop_unreadable, run_expiry};
pub(super) use change_relay::ChangeRelay;
pub(super) use follow_call::{FollowAnswer, FollowReply, FollowRequest};
pub(super) use relay_server::serve_follow;
pub(super) use router_registry::run_registration;
pub(super) use store_follow::{SETTLE_WAIT, follow_kind};
pub(super) use store_probe::{StoreHealth, run_probes};
pub(super) use target_refresh::{TargetRefresh, refresh_targets};
pub(super) use unreadable_log::UnreadableLog;
