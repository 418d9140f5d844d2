//! The `members` module provides which routers and targets exist and which of them are alive.

mod host_list;
mod member_table;

pub use host_list::{HostList, HostRecord, HostRole, HostState};
pub use member_table::{MemberEntry, MemberLiveness, MemberTable};
