//! Tests of journals that are closed for routers that are gone, over whole routers.

mod fault_fleet;
mod fleet_setup;

use fault_fleet::{FaultFleet, FleetStep, StepKind};

fn step(kind: StepKind, run_ms: u64) -> FleetStep {
    FleetStep { kind, run_ms }
}

fn call(node: u8, key: u8, route: u8) -> StepKind {
    StepKind::Call { node, key, route }
}

// Router 3 does not hear router 0, and the platform's list drops its host while it runs. Router 0
// takes it for gone and closes its journal; it goes on with the next one, from which a caller gets a
// whole answer. Then it dies, and with it the last router of its domain. Router 0 is picked to fold
// its journals and has done so once: it must look again, or the answer is never billed.
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

// All routers of a domain end within seconds while the domain is cut off, and one of them by a crash.
// Only one router of the other domain had ever heard of that one, and another that never did is picked
// to fold its journals. The answer that a caller got must be billed all the same.
#[test]
fn fence_happens_when_the_picked_router_knows_nothing() {
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

/// Guards against a journal that stays open because all who knew of its router's death died too.
#[test]
fn fence_finds_grants_that_nobody_is_left_to_claim() {
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
