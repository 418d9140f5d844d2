//! The `member_status` module provides the status of other routers for operators.

use super::{MemberEntry, MemberLiveness, MemberTable};
use crate::clock::ClockTime;
use crate::peer::RouterState;
use crate::status::PeerStatus;

/// The status of all other known routers.
pub(super) fn status_of(table: &MemberTable, now: ClockTime) -> Vec<PeerStatus> {
    table
        .iter()
        .map(|(router, entry)| PeerStatus {
            router: router.clone(),
            domain: entry.domain.clone(),
            state: state_name(entry).to_string(),
            catalogue_revision: entry.catalogue_revision,
            age_ms: now.since(entry.last_seen_at),
        })
        .collect()
}

fn state_name(entry: &MemberEntry) -> &'static str {
    match (entry.liveness, entry.state) {
        (MemberLiveness::Live, RouterState::Live) => "live",
        (MemberLiveness::Live, RouterState::Draining | RouterState::Left) => "draining",
        (MemberLiveness::Down, _) => "down",
        (MemberLiveness::Gone, _) => "gone",
    }
}
