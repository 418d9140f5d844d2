//! Shared limits, deadlines and load shedding.

mod routing_support;

use beechsaddle_core::admission::{AdmissionGate, AdmissionInput, AdmissionOptions, AdmissionPass};
use beechsaddle_core::catalogue::{EntryClass, EntryLimits, ServiceEntry, WorkspaceEntry};
use beechsaddle_core::prelude::*;
use beechsaddle_core::targets::ServiceLoad;
use quickcheck::{QuickCheck, TestResult};
use routing_support::*;

const NO_LIMITS: EntryLimits = EntryLimits {
    concurrency: None,
    requests_per_second: None,
    tokens_per_minute: None,
};

fn input<'a>(workspace: &'a WorkspaceEntry, service: &'a ServiceEntry) -> AdmissionInput<'a> {
    AdmissionInput {
        workspace,
        service,
        model: None,
        class: EntryClass::Standard,
        tokens: 100,
        deadline: None,
        load: ServiceLoad::default(),
    }
}

fn gate(count: usize, number: usize) -> AdmissionGate {
    let mut gate = AdmissionGate::new(AdmissionOptions::default(), number as u64);
    gate.tick(at(0), &members(number, count));
    gate
}

/// Routers that exchange their use every 500 ms with a delay of 5 ms.
struct LimitDomain {
    gates: Vec<AdmissionGate>,
}

impl LimitDomain {
    fn new(count: usize) -> Self {
        LimitDomain {
            gates: (0..count).map(|number| gate(count, number)).collect(),
        }
    }

    fn exchange(&mut self, now: ClockTime) {
        let count = self.gates.len();
        let updates: Vec<_> = self
            .gates
            .iter_mut()
            .map(|gate| gate.take_limits(now))
            .collect();
        for (to, gate) in self.gates.iter_mut().enumerate() {
            for (from, uses) in updates.iter().enumerate().filter(|(from, _)| *from != to) {
                gate.on_limits(now.plus_ms(5), &router(from), uses);
            }
            gate.tick(now, &members(to, count));
        }
    }
}

#[test]
fn admit_noisy_and_quiet_workspace() {
    // One workspace sends fifty times its limit and is refused for it. Another workspace on the
    // same router and service must not be affected.
    let limits = EntryLimits {
        requests_per_second: Some(10),
        ..NO_LIMITS
    };
    let (noisy, quiet) = (workspace("noisy", limits), workspace("quiet", limits));
    let service = service(NO_LIMITS);
    let mut gate = gate(1, 0);
    let mut admitted = 0;
    for step in 0..1_000 {
        let now = at(step * 2);
        if let Ok(pass) = gate.admit(now, &input(&noisy, &service)) {
            admitted += 1;
            gate.ended(now, pass, 10);
        }
        if step % 100 == 0 {
            let pass = gate
                .admit(now, &input(&quiet, &service))
                .expect("within its limit");
            gate.ended(now, pass, 10);
        }
    }
    assert!(
        (20..=31).contains(&admitted),
        "{admitted} calls in two seconds"
    );
}

#[test]
fn admit_request_rate_shared_by_routers() {
    // Four routers share 100 calls per second. All demand arrives at one of them, then also at a
    // second, then only at the second. No phase may leave most of the limit unused, and no change
    // may let two routers use the same part of it.
    let limits = EntryLimits {
        requests_per_second: Some(100),
        ..NO_LIMITS
    };
    let (workspace, service) = (workspace("w", limits), service(NO_LIMITS));
    let mut domain = LimitDomain::new(4);
    let mut by_second = vec![0_u32; 30];
    for step in 0..30_000_u64 {
        let now = at(step);
        if step % 500 == 0 {
            domain.exchange(now);
        }
        if step % 4 != 0 {
            continue;
        }
        let busy = match step / 10_000 {
            0 => 0..1,
            1 => 0..2,
            _ => 1..2,
        };
        for gate in &mut domain.gates[busy] {
            if let Ok(pass) = gate.admit(now, &input(&workspace, &service)) {
                gate.ended(now, pass, 10);
                by_second[(step / 1_000) as usize] += 1;
            }
        }
    }
    for second in [6, 7, 8, 9, 16, 17, 18, 19, 26, 27, 28, 29] {
        assert!((80..=100).contains(&by_second[second]), "{by_second:?}");
    }
    assert!(
        by_second[3..].iter().all(|count| *count <= 105),
        "{by_second:?}"
    );
}

#[test]
fn admit_concurrency_shared_by_routers() {
    // Four routers share ten concurrent calls and all have more demand. Rounding may add at most
    // one call per router.
    let limits = EntryLimits {
        concurrency: Some(10),
        ..NO_LIMITS
    };
    let (workspace, service) = (workspace("w", limits), service(NO_LIMITS));
    let mut domain = LimitDomain::new(4);
    let mut open: Vec<(usize, AdmissionPass)> = Vec::new();
    let mut most = 0;
    for step in 0..200_u64 {
        let now = at(step * 50);
        if step % 10 == 0 {
            domain.exchange(now);
        }
        for number in 0..4 {
            if let Ok(pass) = domain.gates[number].admit(now, &input(&workspace, &service)) {
                open.push((number, pass));
            }
        }
        most = most.max(open.len());
        if open.len() > 6 {
            let (number, pass) = open.remove(0);
            domain.gates[number].ended(now, pass, 10);
        }
    }
    assert!((10..=13).contains(&most), "{most} concurrent calls");
}

#[test]
fn admit_concurrency_demand_shifts() {
    // One router runs nearly all of the 40 concurrent calls that a workspace allows, five seconds
    // each, when the demand moves to another router. The first router's share falls at once, but
    // running calls are not cancelled, and the second router must not use the part still in use.
    let limits = EntryLimits {
        concurrency: Some(40),
        ..NO_LIMITS
    };
    let (workspace, service) = (workspace("w", limits), service(NO_LIMITS));
    let mut domain = LimitDomain::new(4);
    let mut open: Vec<(u64, usize, AdmissionPass)> = Vec::new();
    let mut most = 0;
    for step in 0..400_u64 {
        let now = at(step * 50);
        if step % 10 == 0 {
            domain.exchange(now);
        }
        let busy = usize::from(step >= 150);
        for _ in 0..4 {
            if let Ok(pass) = domain.gates[busy].admit(now, &input(&workspace, &service)) {
                open.push((step + 100, busy, pass));
            }
        }
        while open.first().is_some_and(|(end, _, _)| *end <= step) {
            let (_, number, pass) = open.remove(0);
            domain.gates[number].ended(now, pass, 10);
        }
        most = most.max(open.len());
    }
    assert!((30..=43).contains(&most), "{most} concurrent calls");
}

#[test]
fn admit_concurrency_below_router_count() {
    // A concurrency limit of two over eight routers: any router that the load balancer selects must
    // admit a call.
    let limits = EntryLimits {
        concurrency: Some(2),
        ..NO_LIMITS
    };
    let (workspace, service) = (workspace("w", limits), service(NO_LIMITS));
    let mut gate = gate(8, 5);
    assert!(gate.admit(at(1), &input(&workspace, &service)).is_ok());
}

#[test]
fn admit_tokens_over_limit() {
    // Bounds are far above actual use. The bucket is charged actual use, and a refused caller that
    // retries at the given time is admitted.
    let limits = EntryLimits {
        tokens_per_minute: Some(6_000),
        ..NO_LIMITS
    };
    let (workspace, service) = (workspace("w", limits), service(NO_LIMITS));
    let mut gate = gate(1, 0);
    let mut used = 0;
    let mut refused = None;
    for step in 0..600 {
        let now = at(step * 100);
        let call = AdmissionInput {
            tokens: 1_000,
            ..input(&workspace, &service)
        };
        match gate.admit(now, &call) {
            Ok(pass) => {
                used += 50;
                gate.ended(now, pass, 50);
            }
            Err(refusal) => refused = Some((now, refusal)),
        }
    }
    assert!((5_000..=7_600).contains(&used), "{used} tokens in a minute");
    let (now, refusal) = refused.expect("the limit was reached");
    assert_eq!(refusal.reason, RefusalReason::TokenRateLimit);
    assert_eq!(refusal.ran, RanState::No);
    let back = now.plus_ms(refusal.retry_after_ms.expect("a retry time"));
    assert!(gate.admit(back, &input(&workspace, &service)).is_ok());
}

#[test]
fn admit_refused_callers_get_distinct_retry_slots() {
    // Fifty callers are refused at once. With equal retry times they would all compete for one free
    // slot; with distinct ones nearly all are admitted.
    let limits = EntryLimits {
        requests_per_second: Some(10),
        ..NO_LIMITS
    };
    let (workspace, service) = (workspace("w", limits), service(NO_LIMITS));
    let mut gate = gate(1, 0);
    let mut returns = Vec::new();
    for _ in 0..60 {
        match gate.admit(at(0), &input(&workspace, &service)) {
            Ok(pass) => gate.ended(at(0), pass, 10),
            Err(refusal) => returns.push(refusal.retry_after_ms.expect("a retry time")),
        }
    }
    assert_eq!(returns.len(), 50);
    returns.sort_unstable();
    let admitted = returns
        .iter()
        .filter(|span_ms| {
            let now = at(**span_ms);
            let pass = gate.admit(now, &input(&workspace, &service));
            pass.map(|pass| gate.ended(now, pass, 10)).is_ok()
        })
        .count();
    assert!(
        admitted >= 45,
        "{admitted} of 50 callers were admitted on retry"
    );
}

#[test]
fn admit_sheds_lowest_class_first() {
    // Load rises until the router is full. All batch calls must be shed before the first standard
    // call, and all standard calls before the first critical one.
    let (workspace, service) = (workspace("w", NO_LIMITS), service(NO_LIMITS));
    let mut last_full = [None; 3];
    let mut first_shed = [None; 3];
    for waiting in 0..=110_u32 {
        let mut gate = gate(1, 0);
        for (index, class) in [
            EntryClass::Batch,
            EntryClass::Standard,
            EntryClass::Critical,
        ]
        .into_iter()
        .enumerate()
        {
            let load = ServiceLoad {
                targets: 100,
                calls: 0,
                waiting: waiting * 16,
                first_token_ms: None,
            };
            for _ in 0..40 {
                let call = AdmissionInput {
                    class,
                    load,
                    ..input(&workspace, &service)
                };
                match gate.admit(at(1), &call) {
                    Ok(pass) => {
                        last_full[index] = Some(waiting);
                        gate.ended(at(2), pass, 1);
                    }
                    Err(refusal) => {
                        assert_eq!(refusal.reason, RefusalReason::Overloaded);
                        assert_eq!(refusal.ran, RanState::No);
                        first_shed[index].get_or_insert(waiting);
                    }
                }
            }
        }
    }
    assert!(last_full[0] < first_shed[1], "{last_full:?} {first_shed:?}");
    assert!(last_full[1] < first_shed[2], "{last_full:?} {first_shed:?}");
}

#[test]
fn admit_open_calls_bounded() {
    // Targets hang and calls accumulate at the router, which must refuse new ones before its small
    // memory is exhausted.
    let (workspace, service) = (workspace("w", NO_LIMITS), service(NO_LIMITS));
    let mut gate = gate(1, 0);
    let mut passes = Vec::new();
    for _ in 0..5_000 {
        let call = AdmissionInput {
            class: EntryClass::Critical,
            ..input(&workspace, &service)
        };
        passes.extend(gate.admit(at(1), &call));
    }
    assert!(passes.len() <= 2_000, "{} calls are open", passes.len());
}

#[test]
fn admit_deadline_cannot_be_met() {
    // The first token takes 900 ms and the caller gives up after 500 ms: the answer would be wasted
    // and use engine time that another caller needs.
    let (workspace, service) = (workspace("w", NO_LIMITS), service(NO_LIMITS));
    let mut gate = gate(1, 0);
    let load = ServiceLoad {
        targets: 1,
        calls: 9,
        waiting: 9,
        first_token_ms: Some(900),
    };
    let call = |deadline| AdmissionInput {
        deadline: Some(at(deadline)),
        load,
        ..input(&workspace, &service)
    };
    let refusal = gate
        .admit(at(0), &call(500))
        .expect_err("the deadline cannot be met");
    assert_eq!(refusal.reason, RefusalReason::DeadlineExceeded);
    assert_eq!(refusal.ran, RanState::No);
    assert!(gate.admit(at(0), &call(1_000)).is_ok());
    let refusal = gate
        .admit(at(0), &call(0))
        .expect_err("the deadline has passed");
    assert_eq!(refusal.retry_after_ms, None);
}

#[test]
fn admit_refused_holds_nothing() {
    // The workspace's limit has room but the service's has none. The refused call must not use the
    // workspace's limit.
    let limits = EntryLimits {
        concurrency: Some(1),
        ..NO_LIMITS
    };
    let (first, second) = (workspace("a", limits), workspace("b", limits));
    let service = service(limits);
    let mut gate = gate(1, 0);
    let pass = gate
        .admit(at(0), &input(&first, &service))
        .expect("both limits have room");
    let refusal = gate
        .admit(at(1), &input(&second, &service))
        .expect_err("the service is full");
    assert_eq!(refusal.reason, RefusalReason::ConcurrencyLimit);
    gate.ended(at(2), pass, 10);
    assert!(gate.admit(at(3), &input(&second, &service)).is_ok());
}

#[test]
fn take_limits_omits_entries_below_floor() {
    // Thousands of workspaces far below their limits must add no bytes to a heartbeat.
    let limits = EntryLimits {
        requests_per_second: Some(1_000),
        ..NO_LIMITS
    };
    let service = service(NO_LIMITS);
    let mut gate = gate(4, 0);
    for number in 0..1_000 {
        let workspace = workspace(&format!("w{number}"), limits);
        let pass = gate
            .admit(at(0), &input(&workspace, &service))
            .expect("within its limit");
        gate.ended(at(0), pass, 10);
    }
    assert_eq!(gate.take_limits(at(1)), []);
}

#[test]
fn ended_random_histories() {
    // In any order of admissions and ends, concurrency stays within the limit and is fully
    // released.
    fn holds(steps: Vec<bool>, limit: u8) -> TestResult {
        let limits = EntryLimits {
            concurrency: Some(u32::from(limit)),
            ..NO_LIMITS
        };
        let (workspace, service) = (workspace("w", limits), service(NO_LIMITS));
        let mut gate = gate(1, 0);
        let mut open = Vec::new();
        for (number, is_call) in steps.into_iter().enumerate() {
            let now = at(number as u64);
            if is_call {
                open.extend(gate.admit(now, &input(&workspace, &service)));
            } else if let Some(pass) = open.pop() {
                gate.ended(now, pass, 1);
            }
            if open.len() > usize::from(limit) {
                return TestResult::error(format!("{} calls running", open.len()));
            }
        }
        TestResult::from_bool(gate.open_calls() as usize == open.len())
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<bool>, u8) -> TestResult);
}
