//! The `members` module provides the known routers and targets and their liveness.
//!
//! The platform's delayed list defines which hosts exist; heartbeats show which are live. No budget
//! may depend on this view: two routers may see different members at any time.

mod bridge_table;
mod heartbeat_plan;
mod heartbeat_update;
mod heartbeat_writer;
mod host_exchange;
mod host_list;
mod host_view;
mod host_watch;
mod liveness_check;
mod member_manager;
mod member_options;
mod member_status;
mod member_table;
mod peer_contacts;

pub use heartbeat_update::HeartbeatUpdate;
pub use host_list::{HostList, HostRecord, HostRole, HostState};
pub use member_manager::MemberManager;
pub use member_options::{MemberOptions, SeedPeer};
pub use member_table::{MemberEntry, MemberLiveness, MemberTable};
