//! The `core_reports` module provides the gauges and the status of a router.

use super::RouterCore;
use super::router_core::DrainPhase;
use crate::members::MemberLiveness;
use crate::peer::RouterState;
use crate::prelude::*;
use crate::report::{GaugeName, ReportAction};
use crate::status::RouterStatus;

/// How often gauges are reported, in milliseconds.
const GAUGE_PERIOD_MS: u64 = 1_000;

impl RouterCore {
    pub(super) fn report_gauges(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        if now.since(self.gauges_reported_at) < GAUGE_PERIOD_MS {
            return;
        }
        self.gauges_reported_at = now;
        let members = self.members.table();
        let peers = members.iter().filter(|(_, entry)| {
            entry.domain == *members.domain() && entry.liveness == MemberLiveness::Live
        });
        let peers = peers.count() as u64;
        for gauge in GaugeName::ALL {
            let level = match gauge {
                GaugeName::OpenCalls => self.calls.open_calls() as u64,
                GaugeName::UnjournalledBills => self.accounting.unjournalled(),
                GaugeName::GrantsHeld => self.accounting.grants().len() as u64,
                GaugeName::PeersLive => peers,
                GaugeName::TargetsLive => self.targets.live_count(now),
                GaugeName::CatalogueRevision => self.catalogue.view().revision(),
            };
            outbox.act(ReportAction::Gauge { gauge, level });
        }
    }

    pub(super) fn status(&self, now: ClockTime) -> RouterStatus {
        RouterStatus {
            router: self.me.clone(),
            domain: self.members.table().domain().clone(),
            state: self.state(),
            catalogue_revision: self.catalogue.view().revision(),
            open_calls: self.calls.open_calls() as u64,
            unjournalled_bills: self.accounting.unjournalled(),
            peers: self.members.status(now),
            grants: self.accounting.grants(),
            targets: self.targets.status(now),
        }
    }

    pub(super) fn state(&self) -> RouterState {
        match self.phase {
            DrainPhase::Serving => RouterState::Live,
            DrainPhase::EndingCalls | DrainPhase::HandingOver => RouterState::Draining,
            DrainPhase::Left => RouterState::Left,
        }
    }
}
