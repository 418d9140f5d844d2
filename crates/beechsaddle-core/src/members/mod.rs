//! The `members` module provides which routers and targets exist and which of them are alive.
//!
//! The platform's lagging list says which hosts there are; heartbeats say which of them live.
//! Nothing here is safe to rest a budget on: two routers may see two memberships at any moment.

mod bridge_book;
mod heartbeat_news;
mod heartbeat_plan;
mod heartbeat_writer;
mod host_exchange;
mod host_list;
mod host_view;
mod host_watch;
mod liveness_check;
mod member_desk;
mod member_options;
mod member_status;
mod member_table;
mod peer_contacts;

pub use heartbeat_news::HeartbeatNews;
pub use host_list::{HostList, HostRecord, HostRole, HostState};
pub use member_desk::MemberDesk;
pub use member_options::{MemberOptions, SeedPeer};
pub use member_table::{MemberEntry, MemberLiveness, MemberTable};
