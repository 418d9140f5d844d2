//! The `gateway_text` module provides the text form of a gateway's status.

use beechsaddle_core::gateway::{
    EvacuationStatus, GatewayPeerStatus, GatewayStatus, GatewayTargetStatus, LinkStatus,
    ReportStatus, WorkspaceStatus,
};

/// Formats one line for the gateway, and one for each peer, workspace and target in its status.
pub(super) fn gateway_text(status: &GatewayStatus) -> String {
    let mut lines = vec![format!(
        "gateway {} domain={} phase={} open_calls={} store_age_ms={} routers={}",
        status.gateway,
        status.domain,
        status.phase,
        status.open_calls,
        status.store_age_ms,
        status.routers
    )];
    lines.push(match &status.config {
        Some(config) => format!(
            "config version={} age_ms={} routes={}",
            config.version, config.age_ms, config.routes
        ),
        None => "config none".to_owned(),
    });
    lines.extend(status.link.iter().map(link_line));
    lines.extend(status.peers.iter().map(peer_line));
    lines.extend(status.workspaces.iter().map(workspace_line));
    match &status.evacuations {
        Some(evacuations) => lines.extend(evacuations.iter().map(evacuation_line)),
        None => lines.push("evacuations unknown".to_owned()),
    }
    lines.extend(status.targets.iter().map(target_line));
    lines.join("\n")
}

fn link_line(link: &LinkStatus) -> String {
    format!(
        "link load={:.2} offered={:.2} is_out={}",
        link.load, link.offered, link.is_out
    )
}

fn peer_line(peer: &GatewayPeerStatus) -> String {
    format!(
        "peer {} domain={} down_for_ms={}",
        peer.host, peer.domain, peer.down_for_ms
    )
}

fn workspace_line(workspace: &WorkspaceStatus) -> String {
    format!(
        "workspace {} role={} free={} reserved={} left={} ledger_age_ms={}",
        workspace.workspace,
        workspace.role,
        workspace.free,
        workspace.reserved,
        or_unknown(workspace.left),
        or_unknown(workspace.ledger_age_ms)
    )
}

fn evacuation_line(evacuation: &EvacuationStatus) -> String {
    format!(
        "evacuation {} age_ms={} revision={} active={}",
        evacuation.domain, evacuation.age_ms, evacuation.revision, evacuation.active
    )
}

fn target_line(target: &GatewayTargetStatus) -> String {
    let own = speeds(target.event_ms, target.read_per_ms);
    let reported = target
        .reported
        .as_ref()
        .map_or("unknown".to_owned(), report_fields);
    format!(
        "target {} service={} phase={} active={} ejected_for_ms={} failures={:.2} heard_age_ms={} \
         cold_for_ms={} resting_for_ms={} speed={own} reported={reported}",
        target.target,
        target.service,
        target.phase,
        target.active,
        target.ejected_for_ms,
        target.failure_share,
        target.heard_age_ms,
        target.cold_for_ms,
        target.resting_for_ms
    )
}

/// Returns the time between events and the tokens read in a millisecond.
fn speeds(event_ms: Option<f64>, read_per_ms: Option<f64>) -> String {
    let text =
        |number: Option<f64>| number.map_or("unknown".to_owned(), |number| format!("{number:.1}"));
    format!("{}/{}", text(event_ms), text(read_per_ms))
}

fn report_fields(report: &ReportStatus) -> String {
    format!(
        "{} reported_active={} reported_pending={} reported_age_ms={}",
        speeds(report.event_ms, report.read_per_ms),
        report.active,
        report.pending_tokens,
        report.age_ms
    )
}

fn or_unknown(number: Option<u64>) -> String {
    number.map_or("unknown".to_owned(), |number| number.to_string())
}
