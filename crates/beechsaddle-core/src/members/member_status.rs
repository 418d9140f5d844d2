//! The `member_status` module provides what operators are told of other routers.

use super::{MemberEntry, MemberLiveness, MemberTable};
use crate::clock::ClockTime;
use crate::peer::RouterState;
use crate::status::PeerStatus;

/// All other routers that are known.
pub(super) fn status_of(table: &MemberTable, now: ClockTime) -> Vec<PeerStatus> {
    table
        .iter()
        .map(|(router, entry)| PeerStatus {
            router: router.clone(),
            domain: entry.domain.clone(),
            state: state_word(entry).to_string(),
            catalogue_revision: entry.catalogue_revision,
            age_ms: now.since(entry.heard),
        })
        .collect()
}

fn state_word(entry: &MemberEntry) -> &'static str {
    match (entry.liveness, entry.state) {
        (MemberLiveness::Live, RouterState::Live) => "live",
        (MemberLiveness::Live, RouterState::Draining | RouterState::Left) => "draining",
        (MemberLiveness::Down, _) => "down",
        (MemberLiveness::Gone, _) => "gone",
    }
}
