//! Shared by the tests of targets, admission and retries.
#![allow(dead_code)]

use std::path::PathBuf;

use beechsaddle_core::catalogue::{
    EntryClass, EntryHeader, EntryLimits, ServiceEntry, ServiceKind, WorkspaceEntry,
};
use beechsaddle_core::members::{
    HostRecord, HostRole, HostState, MemberEntry, MemberLiveness, MemberTable,
};
use beechsaddle_core::peer::RouterState;
use beechsaddle_core::prelude::*;
use beechsaddle_core::target::{
    EngineRole, EngineState, LoadReport, ProbeOutcome, TargetAction, TargetEvent,
};
use beechsaddle_core::targets::{
    CallWork, ChoiceRequest, TargetChoice, TargetOptions, TargetTable,
};
use serde::Serialize;

pub const SERVICE: &str = "pomocnik";
pub const DOMAIN: &str = "split-hala";

pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(1_000_000 + millis)
}

pub fn router(number: usize) -> RouterIncarnation {
    RouterIncarnation::new(format!("router-{number}").as_str(), 1)
}

/// The member table of router `me` out of `count` routers.
pub fn members(me: usize, count: usize) -> MemberTable {
    let mut table = MemberTable::new(router(me), DomainName::new(DOMAIN));
    for number in (0..count).filter(|number| *number != me) {
        let entry = MemberEntry {
            domain: DomainName::new(DOMAIN),
            address: format!("10.0.0.{number}:7000"),
            state: RouterState::Live,
            liveness: MemberLiveness::Live,
            catalogue_revision: 1,
            last_seen_at: at(0),
            sequence: 1,
        };
        table.insert(router(number), entry);
    }
    table
}

pub fn table(options: TargetOptions) -> TargetTable {
    TargetTable::new(options, router(0), DomainName::new(DOMAIN), 7)
}

pub fn host(name: &str, epoch: u64, state: HostState) -> HostRecord {
    HostRecord {
        host: HostName::new(name),
        domain: DomainName::new(DOMAIN),
        epoch,
        address: format!("{name}:80"),
        role: HostRole::Target {
            service: ServiceName::new(SERVICE),
            checks_fence: true,
        },
        state,
    }
}

pub fn hosts(count: usize) -> Vec<HostRecord> {
    (0..count)
        .map(|number| host(&format!("target-{number}"), 1, HostState::Live))
        .collect()
}

pub fn target(number: usize) -> TargetName {
    TargetName::new(format!("target-{number}"))
}

pub fn engine_state(model: &str) -> EngineState {
    EngineState {
        model: ModelName::new(model),
        version: 1,
        adapters: Vec::new(),
        role: EngineRole::Whole,
    }
}

pub fn probed(target: &TargetName, outcome: ProbeOutcome) -> TargetEvent {
    TargetEvent::Probed {
        target: target.clone(),
        outcome,
        cache: None,
    }
}

pub fn healthy(target: &TargetName, running: u32, waiting: u32) -> TargetEvent {
    let load = LoadReport {
        running,
        waiting,
        cache_permille: 0,
    };
    let engine = Some(engine_state("m"));
    probed(target, ProbeOutcome::Healthy { load, engine })
}

pub const WORK: CallWork = CallWork {
    prompt_tokens: 1_024,
    output_tokens: 128,
};

pub fn engine_call<'a>(prefix: &'a [u64], tried: &'a [TargetName]) -> ChoiceRequest<'a> {
    ChoiceRequest {
        service: ServiceName::new(SERVICE),
        kind: ServiceKind::Engine,
        model: Some(ModelName::new("m")),
        prefix,
        tried,
        work: WORK,
    }
}

pub fn plain_call(tried: &[TargetName]) -> ChoiceRequest<'_> {
    ChoiceRequest {
        kind: ServiceKind::Plain,
        model: None,
        work: CallWork::default(),
        ..engine_call(&[], tried)
    }
}

pub fn chosen(choice: TargetChoice) -> TargetName {
    match choice {
        TargetChoice::Chosen(chosen) => chosen.target,
        other => panic!("no target was chosen: {other:?}"),
    }
}

/// The targets probed by a tick.
pub fn probes(outbox: &CoreOutbox) -> Vec<TargetName> {
    outbox
        .actions
        .iter()
        .filter_map(|action| match action {
            CoreAction::Target(TargetAction::Probe { target, .. }) => Some(target.clone()),
            _ => None,
        })
        .collect()
}

pub fn header(class: EntryClass, limits: EntryLimits) -> EntryHeader {
    EntryHeader {
        owner: OwnerName::new("ana"),
        class,
        limits,
    }
}

pub fn workspace(name: &str, limits: EntryLimits) -> WorkspaceEntry {
    WorkspaceEntry {
        header: header(EntryClass::Standard, limits),
        name: WorkspaceName::new(name),
        keys: Vec::new(),
        budget: None,
        services: Vec::new(),
        models: Vec::new(),
    }
}

pub fn service(limits: EntryLimits) -> ServiceEntry {
    ServiceEntry {
        header: header(EntryClass::Standard, limits),
        name: ServiceName::new(SERVICE),
        kind: ServiceKind::Engine,
        repeatable: true,
        call_cost: 0,
        head_timeout_ms: 30_000,
    }
}

/// Records a session as JSON lines and compares it with a golden file.
#[derive(Default)]
pub struct RoutingSession {
    lines: Vec<String>,
}

#[derive(Serialize)]
struct SessionLine<'a, T: Serialize> {
    at: ClockTime,
    step: &'a str,
    value: &'a T,
}

impl RoutingSession {
    pub fn record(&mut self, now: ClockTime, step: &str, value: &impl Serialize) {
        let line = SessionLine {
            at: now,
            step,
            value,
        };
        self.lines
            .push(serde_json::to_string(&line).expect("steps can be written"));
    }

    /// Compares with `golden/<name>.jsonl`; with `UPDATE_GOLDEN` set the file is written instead.
    pub fn check(self, name: &str) {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
            .join("tests/golden")
            .join(format!("{name}.jsonl"));
        let text = self.lines.join("\n") + "\n";
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            std::fs::write(&path, &text).expect("the golden file can be written");
        }
        let golden = std::fs::read_to_string(&path).expect("the golden file is there");
        for (number, (got, wanted)) in text.lines().zip(golden.lines()).enumerate() {
            assert_eq!(got, wanted, "line {} of {name}.jsonl", number + 1);
        }
        assert_eq!(text.lines().count(), golden.lines().count(), "{name}.jsonl");
    }
}
