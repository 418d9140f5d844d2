//! Four engines of one domain and the choice between them.

#![allow(dead_code)]

use std::net::SocketAddr;

use beechsaddle_core::gateway::{
    ChoiceInput, EvacuationRegistry, PolicyOptions, PromptPart, PromptShape, TargetChoice,
    TargetPhase, TargetRecord, TargetRoster, TargetStats, choose_target,
};
use beechsaddle_core::prelude::*;

/// The time of all events.
pub const START: ClockTime = ClockTime::from_millis(1_000_000);

pub const NAMES: [&str; 4] = ["e1", "e2", "e3", "e4"];

/// A roster of the engines without known state.
pub fn roster() -> TargetRoster {
    let mut roster = TargetRoster::default();
    let records = NAMES.iter().map(|name| TargetRecord {
        name: TargetName::new(*name),
        started: None,
        revision: 1,
        service: ServiceName::new("engine"),
        version: SoftwareVersion::new("v1"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        domain: DomainName::new("north"),
        slots: 6,
        phase: TargetPhase::Ready,
        cold_ms: 0,
    });
    roster.take_listing(START, records);
    roster
}

/// The stats of an engine.
pub fn stats<'a>(roster: &'a mut TargetRoster, name: &str) -> &'a mut TargetStats {
    let stats = roster.stats_mut(&TargetName::new(name));
    stats.expect("a target")
}

/// Chooses a target for a prompt, and for a request suspected of crashing its target.
pub fn choose(
    roster: &TargetRoster,
    shared: Option<&str>,
    suspect: Option<&str>,
) -> Option<TargetChoice> {
    let part = |id: &str, tokens| PromptPart {
        id: id.to_owned(),
        tokens,
    };
    let parts = shared.map(|shared| vec![part(shared, 350), part("own", 1_100)]);
    let input = ChoiceInput {
        service: &ServiceName::new("engine"),
        version: None,
        is_engine: true,
        domain: &DomainName::new("north"),
        prompt: &PromptShape {
            parts: parts.unwrap_or_default(),
        },
        request_id: "id",
        tried: &[],
        runs_once: false,
        suspect,
        evacuations: &EvacuationRegistry::disabled(),
        warm_up: None,
        routers: 1,
        policy: PolicyOptions::default(),
    };
    choose_target(roster, START, input)
}

pub fn chosen(roster: &TargetRoster, shared: Option<&str>, suspect: Option<&str>) -> String {
    let choice = choose(roster, shared, suspect).expect("a choice");
    choice.target.to_string()
}
