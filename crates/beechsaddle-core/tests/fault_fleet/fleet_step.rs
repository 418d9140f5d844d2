//! The `fleet_step` module provides the steps of a session.

use beechsaddle_core::catalogue::CatalogueChange;
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::prelude::*;
use rand::Rng;

use super::target_script::TargetScript;
use super::{FaultFleet, NODES};

/// What happens next; numbers are taken modulo what there is.
#[derive(Clone, Debug)]
pub enum StepKind {
    Call { node: u8, key: u8, route: u8 },
    Twins { one: u8, other: u8, key: u8 },
    HangUp { call: u8 },
    Script { target: u8, script: u8 },
    Cut { one: u8, other: u8 },
    CutDomains,
    JoinAll,
    CutPlatform { node: u8 },
    PlatformAway { is_away: bool },
    Network { quality: u8 },
    Kill { node: u8 },
    Restart { node: u8 },
    Freeze { node: u8 },
    Thaw { node: u8 },
    TopUp { tokens: u8 },
    Change,
    Drain { node: u8 },
}

/// One step, and how long the fleet then runs.
#[derive(Clone, Debug)]
pub struct FleetStep {
    pub kind: StepKind,
    pub run_ms: u64,
}

impl FleetStep {
    /// Draws a step.
    pub fn draw(random: &mut impl Rng) -> Self {
        let (a, b, c) = (random.random(), random.random(), random.random());
        let kind = match random.random_range(0..100) {
            0..=39 => StepKind::Call {
                node: a,
                key: b,
                route: c,
            },
            40..=45 => StepKind::Twins {
                one: a,
                other: b,
                key: c,
            },
            46..=48 => StepKind::HangUp { call: a },
            49..=56 => StepKind::Script {
                target: a,
                script: b,
            },
            57..=61 => StepKind::Cut { one: a, other: b },
            62..=63 => StepKind::CutDomains,
            64..=66 => StepKind::JoinAll,
            67..=69 => StepKind::CutPlatform { node: a },
            70..=74 => StepKind::PlatformAway { is_away: a < 100 },
            75..=78 => StepKind::Network { quality: a },
            79..=80 => StepKind::Kill { node: a },
            81..=83 => StepKind::Restart { node: a },
            84..=86 => StepKind::Freeze { node: a },
            87..=91 => StepKind::Thaw { node: a },
            92..=96 => StepKind::TopUp { tokens: a },
            97..=98 => StepKind::Change,
            _ => StepKind::Drain { node: a },
        };
        let longest_ms = *[5, 50, 300, 2_000, 8_000]
            .get(random.random_range(0..5))
            .unwrap_or(&50);
        FleetStep {
            kind,
            run_ms: random.random_range(0..=longest_ms),
        }
    }
}

fn node_of(number: u8) -> usize {
    usize::from(number) % NODES
}

impl FaultFleet {
    /// Takes a step and lets the fleet run.
    pub fn step(&mut self, step: &FleetStep) {
        self.take_step(&step.kind);
        self.run(step.run_ms);
    }

    fn take_step(&mut self, kind: &StepKind) {
        match *kind {
            StepKind::Call { node, key, route } => self.call_step(node_of(node), key, route),
            StepKind::Twins { one, other, key } => {
                let key: KeyText = format!("twin-{}", key % 8).as_str().into();
                for node in [one, other] {
                    self.call(node_of(node), false, Some(false), Some(key.clone()));
                }
            }
            StepKind::HangUp { call } => self.hang_up(call),
            StepKind::Script { target, script } => self.set_script(target, script),
            StepKind::Cut { one, other } => self.network.toggle(node_of(one), node_of(other)),
            StepKind::CutDomains => self.cut_domains(),
            StepKind::JoinAll => {
                self.network.cuts.clear();
                self.network.platform_cuts.clear();
            }
            StepKind::CutPlatform { node } => {
                self.network.platform_cuts.insert(node_of(node));
            }
            StepKind::PlatformAway { is_away } => {
                self.network.is_platform_away = is_away;
                self.answer_watches();
            }
            StepKind::Network { quality } => self.set_quality(quality),
            StepKind::Kill { node } => self.kill(node_of(node)),
            StepKind::Restart { node } => self.restart(node_of(node)),
            StepKind::Freeze { node } => {
                let node = node_of(node);
                self.freeze_count += 1;
                self.nodes[node].is_frozen = self.nodes[node].is_alive();
            }
            StepKind::Thaw { node } => self.thaw(node_of(node)),
            StepKind::TopUp { tokens } => {
                let id = format!("top-up-{}", self.parcel_count);
                self.store.top_up(&id, u64::from(tokens) * 8);
                self.answer_watches();
            }
            StepKind::Change => self.change_catalogue(),
            StepKind::Drain { node } => {
                let node = node_of(node);
                if self.nodes[node].is_serving() {
                    self.send_event(0, node, CoreEvent::Drain);
                }
            }
        }
    }

    fn call_step(&mut self, node: usize, key: u8, route: u8) {
        let is_chat = !route.is_multiple_of(4);
        let is_once = route % 8 == 4 || route % 8 == 3;
        let repeatable = is_once.then_some(false);
        let kind = if is_chat { "chat" } else { "notify" };
        // A key always comes with the same request.
        let key = match is_once {
            true => Some(format!("once-{kind}-{}", key % 32).as_str().into()),
            false if !key.is_multiple_of(4) => Some(format!("{kind}-{}", key % 64).as_str().into()),
            false => None,
        };
        self.call(node, is_chat, repeatable, key);
    }

    fn set_script(&mut self, target: u8, script: u8) {
        let targets = ["engine-1", "engine-2", "notify-1", "notify-2"];
        let domain = super::DOMAINS[usize::from(target / 4) % super::DOMAINS.len()];
        let target = format!("{}-{domain}", targets[usize::from(target) % targets.len()]);
        let script = TargetScript::ALL[usize::from(script) % TargetScript::ALL.len()];
        self.scripts.insert(target.as_str().into(), script);
    }

    fn cut_domains(&mut self) {
        for one in 0..NODES {
            for other in 0..one {
                if self.nodes[one].domain != self.nodes[other].domain {
                    self.network.cuts.insert((other, one));
                }
            }
        }
    }

    fn set_quality(&mut self, quality: u8) {
        let network = &mut self.network;
        let bad = |bit: u8, value: u32| if quality & bit == 0 { 0 } else { value };
        network.loss_permille = bad(1, 100);
        network.double_permille = bad(2, 100);
        network.delay_ms = u64::from(bad(4, 400));
        network.lost_answer_permille = bad(8, 150);
        network.late_write_permille = bad(16, 100);
    }

    pub(super) fn kill(&mut self, node: usize) {
        if !self.nodes[node].is_alive() {
            return;
        }
        self.kill_count += 1;
        self.lose_callers(node);
        self.nodes[node].core = None;
        self.list_hosts();
    }

    pub(super) fn restart(&mut self, node: usize) {
        self.kill(node);
        self.start(node);
    }

    pub(super) fn thaw(&mut self, node: usize) {
        self.nodes[node].is_frozen = false;
        let held = std::mem::take(&mut self.nodes[node].held);
        for event in held {
            if self.nodes[node].is_alive() {
                self.take(node, event);
            }
        }
    }

    fn change_catalogue(&mut self) {
        self.change_count += 1;
        let change = CatalogueChange {
            revision: self.change_count,
            write_id: format!("change-{}", self.change_count),
            author: "ana".into(),
            applied: self.now,
            edits: Vec::new(),
        };
        let key = format!("catalogue/change/{:012}", self.change_count);
        self.store.put(&key, PlatformObject::Change(change));
        self.answer_watches();
    }
}
