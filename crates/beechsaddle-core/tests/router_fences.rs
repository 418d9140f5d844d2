//! Tests that the journals of dead routers are fenced, over complete routers.

mod fault_fleet;
mod fleet_setup;

use fault_fleet::{FaultFleet, FleetStep, StepKind};

fn step(kind: StepKind, run_ms: u64) -> FleetStep {
    FleetStep { kind, run_ms }
}

fn call(node: u8, key: u8, route: u8) -> StepKind {
    StepKind::Call { node, key, route }
}

// Router 3 is cut off from router 0, and the platform's list drops its host while it runs. Router 0
// closes its journal as that of a dead router; router 3 continues with the next one and answers a
// call. Then it dies as the last router of its domain. Router 0, which has folded its journals
// once, must look for further ones, or the answer is never billed.
#[test]
fn fence_finds_journals_after_the_first() {
    let mut fleet = FaultFleet::new(209);
    let (one, other) = (3, 0);
    for step in [
        step(call(3, 201, 193), 25),
        step(StepKind::Cut { one, other }, 5),
        step(StepKind::Unlist { node: 3 }, 2_527),
        step(call(4, 91, 181), 4),
        step(StepKind::Drain { node: 1 }, 3_155),
        step(call(3, 151, 4), 239),
        step(StepKind::Restart { node: 3 }, 32),
        step(StepKind::Drain { node: 3 }, 37),
    ] {
        fleet.step(&step);
        fleet.check();
    }
    fleet.heal();
    assert_eq!(fleet.faults, Vec::<String>::new());
}

// All routers of a domain end within seconds while the domain is cut off, one of them by a crash.
// Only one router of the other domain had ever seen the crashed router, and one that had not is
// picked to fold its journals. The answer of a call must still be billed.
#[test]
fn fence_by_router_without_record_of_the_dead_router() {
    let mut fleet = FaultFleet::new(209);
    for step in [
        step(call(1, 147, 72), 749),
        step(call(4, 76, 140), 1_924),
        step(StepKind::CutPlatform { node: 3 }, 298),
        step(StepKind::Drain { node: 1 }, 3_155),
        step(StepKind::CutDomains, 40),
        step(StepKind::Restart { node: 3 }, 32),
        step(call(0, 98, 182), 635),
        step(call(0, 2, 159), 771),
        step(StepKind::Drain { node: 3 }, 37),
        step(StepKind::Kill { node: 0 }, 169),
    ] {
        fleet.step(&step);
        fleet.check();
    }
    fleet.heal();
    assert_eq!(fleet.faults, Vec::<String>::new());
}

/// A dead router's journal is closed even if every router that knew of the death died too.
#[test]
fn fence_finds_grants_after_all_peers_died() {
    for seed in 300..310 {
        let mut fleet = FaultFleet::new(seed);
        fleet.step(&step(call(0, 147, 73), 700));
        fleet.step(&step(call(2, 76, 141), 700));
        for node in 0..5 {
            fleet.step(&step(StepKind::Kill { node }, 0));
        }
        fleet.heal_without(&[0, 2]);
        assert_eq!(fleet.faults, Vec::<String>::new(), "seed {seed}");
    }
}
