//! The `shutdown_checks` module provides the checks of calls around planned shutdowns of routers.

use std::collections::{BTreeMap, BTreeSet};

use beechsaddle_platform_stand_in::RunRecord;

use super::announcement_checks::{CalmSpan, is_cut_early};
use super::call_log::{RecordedCall, SoakEvidence};

/// Checks that no call of a time without other faults than shutdowns ends without an answer if it
/// reached a target or is the first one on its connection: a router that accepts a connection answers
/// what its caller sends at once.
pub fn check_shutdowns(
    calls: &BTreeMap<String, RecordedCall>,
    evidence: &SoakEvidence,
    calm: CalmSpan,
) -> Vec<String> {
    let runs = evidence.runs.values().flatten();
    let arrived: BTreeSet<_> = runs.map(RunRecord::request_id).collect();
    let mut cut = Vec::new();
    for (id, call) in calls {
        let Some(exchange) = call.exchange else {
            continue;
        };
        let is_calm = exchange.sent_at >= calm.from && exchange.sent_at <= calm.until;
        let has_arrived = arrived.contains(id.as_str());
        if is_calm && is_cut_early(&exchange) && (has_arrived || exchange.is_first) {
            let lasted = exchange.ended_at.duration_since(exchange.sent_at);
            cut.push(format!(
                "{id} was cut by the shutdown of {} after {lasted:?}: {:?}, {:?}, reached a target: \
                 {has_arrived}",
                exchange.router, exchange.end, call.kind
            ));
        }
    }
    cut
}
