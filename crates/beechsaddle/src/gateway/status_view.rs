//! The `status_view` module provides a router's status for operators.

use beechsaddle_core::gateway::{
    ConfigStatus, EvacuationStatus, GatewayPeerStatus, GatewayStatus, GatewayTargetStatus,
    LinkStatus, ReportStatus, RosterEntry, WorkspaceStatus,
};

use super::gateway_state::GatewayState;

/// Returns the current status, with the age of each item.
pub(super) fn view_status(state: &GatewayState) -> GatewayStatus {
    let now = state.now();
    let ring = state.lending.ring.borrow();
    let roster = state.roster.borrow();
    GatewayStatus {
        gateway: state.me.clone(),
        domain: state.settings().domain.clone(),
        phase: state.phase().as_str().to_owned(),
        open_calls: state.open_calls.get(),
        store_age_ms: state.store_age_ms(),
        config: view_config(state),
        routers: ring.router_count(),
        peers: ring
            .others(now)
            .map(|(peer, down_for_ms)| GatewayPeerStatus {
                host: peer.host.clone(),
                domain: peer.domain.clone(),
                down_for_ms,
            })
            .collect(),
        workspaces: view_workspaces(state),
        evacuations: view_evacuations(state),
        link: view_link(state),
        targets: roster
            .entries()
            .map(|entry| view_target(state, entry))
            .collect(),
    }
}

fn view_link(state: &GatewayState) -> Option<LinkStatus> {
    let now = state.now();
    let link = state.link.borrow().state(now);
    link.capacity?;
    Some(LinkStatus {
        load: link.load,
        offered: state.room.borrow().offered_part(now, link),
        is_out: state.has_left_rotation(),
    })
}

fn view_config(state: &GatewayState) -> Option<ConfigStatus> {
    let config = state.config()?;
    Some(ConfigStatus {
        version: config.version,
        age_ms: state.now().since(state.config_at.get()),
        routes: config.route_count() as u64,
    })
}

fn view_workspaces(state: &GatewayState) -> Vec<WorkspaceStatus> {
    let now = state.now();
    let escrow = state.escrow.borrow();
    let counted = escrow.counted().into_iter();
    let viewed = counted.filter_map(|workspace| {
        let facts = escrow.facts(now, &workspace)?;
        Some(WorkspaceStatus {
            workspace,
            role: facts.role.as_str().to_owned(),
            free: facts.free,
            reserved: facts.reserved,
            left: facts.left,
            ledger_age_ms: facts.ledger_age_ms,
        })
    });
    viewed.collect()
}

fn view_evacuations(state: &GatewayState) -> Option<Vec<EvacuationStatus>> {
    let now = state.now();
    let evacuations = state.evacuations.borrow();
    let roster = state.roster.borrow();
    let viewed = evacuations.in_force().map(|(domain, evacuation)| {
        let targets = roster.entries();
        let evacuated = targets.filter(|entry| entry.record.domain == *domain);
        EvacuationStatus {
            domain: domain.clone(),
            age_ms: now.since(evacuation.since),
            revision: evacuation.revision,
            active: evacuated.map(|entry| entry.stats.active).sum(),
        }
    });
    evacuations.is_known().then(|| viewed.collect())
}

fn view_target(state: &GatewayState, entry: &RosterEntry) -> GatewayTargetStatus {
    let now = state.now();
    let stats = &entry.stats;
    let is_evacuated = !state.evacuations.borrow().allows(&entry.record.domain);
    let phase = match !entry.is_leaving() && is_evacuated {
        true => "evacuated",
        false => entry.phase_name(),
    };
    GatewayTargetStatus {
        target: entry.record.name.clone(),
        service: entry.record.service.clone(),
        phase: phase.to_owned(),
        cold_for_ms: entry.cold_for_ms(now),
        resting_for_ms: state.roster.borrow().rests.left_ms(now, &entry.record),
        active: stats.active,
        ejected_for_ms: stats.ejected_for_ms(now),
        failure_share: stats.failure_share(now),
        heard_age_ms: now.since(stats.progress_at),
        event_ms: stats.event_ms(now),
        read_per_ms: stats.read_per_ms(now),
        reported: entry.report.map(|report| ReportStatus {
            event_ms: report.event_ms,
            read_per_ms: report.read_per_ms,
            active: report.active,
            pending_tokens: report.pending_tokens,
            samples: report.samples,
            age_ms: now.since(report.measured_at),
        }),
    }
}
