//! The `fleet_step` module provides the steps of a session.

use beechsaddle_core::catalogue::CatalogueChange;
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::prelude::*;
use rand::Rng;

use super::target_script::TargetScript;
use super::{FaultFleet, NODES};

/// Script steps with this target number or a higher one change all targets of a domain.
const WHOLE_DOMAIN: u8 = 160;

/// One step; numbers are taken modulo the number of choices.
#[derive(Clone, Debug)]
pub enum StepKind {
    Call { node: u8, key: u8, route: u8 },
    ConcurrentCalls { one: u8, other: u8, key: u8 },
    HangUp { call: u8 },
    Script { target: u8, script: u8 },
    Cut { one: u8, other: u8 },
    CutDomains,
    HealAll,
    CutPlatform { node: u8 },
    PlatformDown { is_down: bool },
    Network { quality: u8 },
    Kill { node: u8 },
    Restart { node: u8 },
    Freeze { node: u8 },
    Resume { node: u8 },
    TopUp { tokens: u8 },
    Change,
    Drain { node: u8 },
    Unlist { node: u8 },
}

/// One step, and how long the fleet runs after it, in milliseconds.
#[derive(Clone, Debug)]
pub struct FleetStep {
    pub kind: StepKind,
    pub run_ms: u64,
}

impl FleetStep {
    /// Draws a random step.
    pub fn draw(random: &mut impl Rng) -> Self {
        let (a, b, c) = (random.random(), random.random(), random.random());
        let kind = match random.random_range(0..100) {
            0..=35 => StepKind::Call {
                node: a,
                key: b,
                route: c,
            },
            36..=41 => StepKind::ConcurrentCalls {
                one: a,
                other: b,
                key: c,
            },
            42..=44 => StepKind::HangUp { call: a },
            45..=51 => StepKind::Script {
                target: a,
                script: b,
            },
            52..=55 => StepKind::Cut { one: a, other: b },
            56..=57 => StepKind::CutDomains,
            58..=60 => StepKind::HealAll,
            61..=63 => StepKind::CutPlatform { node: a },
            64..=68 => StepKind::PlatformDown { is_down: a < 64 },
            69..=72 => StepKind::Network { quality: a & b },
            73..=75 => StepKind::Kill { node: a },
            76..=79 => StepKind::Restart { node: a },
            80..=83 => StepKind::Freeze { node: a },
            84..=88 => StepKind::Resume { node: a },
            89..=92 => StepKind::TopUp { tokens: a },
            93 => StepKind::Change,
            94..=95 => StepKind::Drain { node: a },
            _ => StepKind::Unlist { node: a },
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
    /// Carries out a step and runs the fleet.
    pub fn step(&mut self, step: &FleetStep) {
        self.take_step(&step.kind);
        self.run(step.run_ms);
    }

    fn take_step(&mut self, kind: &StepKind) {
        match *kind {
            StepKind::Call { node, key, route } => self.call_step(node_of(node), key, route),
            StepKind::ConcurrentCalls { one, other, key } => {
                let key: KeyText = format!("twin-{}", key % 8).as_str().into();
                for node in [one, other] {
                    self.call(node_of(node), false, Some(false), Some(key.clone()));
                }
            }
            StepKind::HangUp { call } => self.hang_up(call),
            StepKind::Script { target, script } => self.set_script(target, script),
            StepKind::Cut { one, other } => self.network.toggle(node_of(one), node_of(other)),
            StepKind::CutDomains => self.cut_domains(),
            StepKind::HealAll => {
                self.network.cuts.clear();
                self.network.platform_cuts.clear();
            }
            StepKind::CutPlatform { node } => {
                self.network.platform_cuts.insert(node_of(node));
            }
            StepKind::PlatformDown { is_down } => {
                self.network.is_platform_down = is_down;
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
            StepKind::Resume { node } => self.resume(node_of(node)),
            StepKind::TopUp { tokens } => {
                let id = format!("top-up-{}", self.envelope_count);
                self.store.top_up(&id, u64::from(tokens) * 2);
                self.answer_watches();
            }
            StepKind::Change => self.change_catalogue(),
            StepKind::Unlist { node } => {
                // The platform treats the host as gone, whether its process runs, is frozen or is
                // dead.
                self.freeze_count += 1;
                self.nodes[node_of(node)].is_listed = false;
                self.list_hosts();
            }
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
        // Equal keys always come with equal requests.
        let key = match is_once {
            true => Some(format!("once-{kind}-{}", key % 32).as_str().into()),
            false if !key.is_multiple_of(4) => Some(format!("{kind}-{}", key % 64).as_str().into()),
            false => None,
        };
        self.call(node, is_chat, repeatable, key);
    }

    /// Sets the script of one target, or of all targets of a domain.
    fn set_script(&mut self, target: u8, script: u8) {
        let targets = ["engine-1", "engine-2", "notify-1", "notify-2"];
        let domain = super::DOMAINS[usize::from(target / 4) % super::DOMAINS.len()];
        let script = TargetScript::ALL[usize::from(script) % TargetScript::ALL.len()];
        let chosen = usize::from(target) % targets.len();
        for (index, name) in targets.iter().enumerate() {
            if index == chosen || target >= WHOLE_DOMAIN {
                let target = format!("{name}-{domain}");
                self.scripts.insert(target.as_str().into(), script);
            }
        }
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
        network.duplicate_permille = bad(2, 100);
        network.delay_ms = u64::from(bad(4, 400));
        network.lost_answer_permille = bad(8, 150);
        network.late_write_permille = bad(16, 100);
    }

    pub(super) fn kill(&mut self, node: usize) {
        if !self.nodes[node].is_alive() {
            return;
        }
        self.kill_count += 1;
        self.drop_callers(node);
        self.nodes[node].core = None;
        // The list lags: a host that is replaced at once stays listed.
        if self.chance(500) {
            self.nodes[node].is_listed = false;
            self.list_hosts();
        }
    }

    pub(super) fn restart(&mut self, node: usize) {
        self.kill(node);
        self.start(node);
    }

    pub(super) fn resume(&mut self, node: usize) {
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
