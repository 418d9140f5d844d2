//! Random interleavings of calls, deliveries and failures around dedup records.
//!
//! `ONCE_SEED=<seed> ONCE_TESTS=<count>` runs other ones; the seed is printed when one fails.

mod once_support;

use beechsaddle_core::once::OnceOptions;
use once_support::{OnceBench, Parcel, key};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

/// The hosts: two domains, one of them with two routers.
const HOSTS: [(&str, &str); 3] = [("anis", "nord"), ("beifuss", "nord"), ("dill", "sued")];

/// How many keys the callers use.
const KEYS: u8 = 3;

/// The seed and the number of sessions that CI runs.
const SEED: u64 = 20;
const TESTS: u64 = 400;

/// How many steps a session has at most.
const STEPS: usize = 120;

/// One step of a session; numbers are taken modulo what there is.
#[derive(Clone, Debug)]
enum SessionStep {
    Record { node: u8, key: u8, forgets: bool },
    Deliver { parcel: u8 },
    DeliverAll,
    LoseAnswer { parcel: u8 },
    GiveUpCall { parcel: u8 },
    LoseMessage { parcel: u8 },
    DoubleMessage { parcel: u8 },
    PassTime { ticks: u8 },
    SetClock { node: u8, ahead_s: u8 },
    Cut,
    Heal,
    Freeze { node: u8 },
    Resume { node: u8 },
    Kill { node: u8 },
    Restart { node: u8 },
    Doubt { node: u8 },
    Introduce,
}

impl Arbitrary for SessionStep {
    fn arbitrary(random: &mut Gen) -> Self {
        let node = u8::arbitrary(random);
        let parcel = u8::arbitrary(random);
        match u8::arbitrary(random) % 40 {
            0..=7 => SessionStep::Record {
                node,
                key: parcel,
                forgets: u8::arbitrary(random).is_multiple_of(4),
            },
            8..=17 => SessionStep::Deliver { parcel },
            18 => SessionStep::DeliverAll,
            19..=20 => SessionStep::LoseAnswer { parcel },
            21..=22 => SessionStep::GiveUpCall { parcel },
            23 => SessionStep::LoseMessage { parcel },
            24 => SessionStep::DoubleMessage { parcel },
            25..=29 => SessionStep::PassTime { ticks: parcel % 32 },
            30 => SessionStep::SetClock {
                node,
                ahead_s: parcel,
            },
            31 => SessionStep::Cut,
            32..=33 => SessionStep::Heal,
            34 => SessionStep::Freeze { node },
            35 => SessionStep::Resume { node },
            36 => SessionStep::Kill { node },
            37 => SessionStep::Restart { node },
            38 => SessionStep::Doubt { node },
            _ => SessionStep::Introduce,
        }
    }
}

/// A session under way.
struct Session {
    bench: OnceBench,
    has_killed: bool,
}

impl Session {
    fn new() -> Self {
        let options = OnceOptions {
            shard_count: 1,
            ..OnceOptions::default()
        };
        let mut bench = OnceBench::new(options, &HOSTS);
        bench.is_recorded = false;
        Session {
            bench,
            has_killed: false,
        }
    }

    fn step(&mut self, step: &SessionStep) {
        let bench = &mut self.bench;
        let nodes = bench.nodes.len();
        let parcels = bench.parcels.len();
        let parcel_at = |parcel: &u8| (parcels > 0).then(|| usize::from(*parcel) % parcels.max(1));
        match step {
            SessionStep::Record { node, key, forgets } => {
                let node = usize::from(*node) % nodes;
                if bench.nodes[node].is_alive && !bench.nodes[node].is_frozen {
                    bench.record_or_forget(node, &key_number(*key), *forgets);
                }
            }
            SessionStep::Deliver { parcel } => {
                if let Some(index) = parcel_at(parcel) {
                    bench.deliver(index);
                }
            }
            SessionStep::DeliverAll => bench.deliver_all(),
            SessionStep::LoseAnswer { parcel } => {
                if let Some(index) = parcel_at(parcel) {
                    bench.lose_answer(index);
                }
            }
            SessionStep::GiveUpCall { parcel } => {
                if let Some(index) = parcel_at(parcel) {
                    bench.give_up_call(index);
                }
            }
            SessionStep::LoseMessage { parcel } => {
                if let Some(index) = parcel_at(parcel)
                    && matches!(bench.parcels[index], Parcel::Peer { .. })
                {
                    bench.parcels.remove(index);
                }
            }
            SessionStep::DoubleMessage { parcel } => {
                if let Some(index) = parcel_at(parcel)
                    && matches!(bench.parcels[index], Parcel::Peer { .. })
                {
                    let doubled = bench.parcels[index].clone();
                    bench.parcels.push(doubled);
                }
            }
            SessionStep::PassTime { ticks } => {
                for _ in 0..*ticks {
                    bench.now = bench.now.plus_ms(50);
                    (0..nodes).for_each(|node| bench.tick(node));
                }
            }
            SessionStep::SetClock { node, ahead_s } => {
                let clock = &mut bench.nodes[usize::from(*node) % nodes].clock_ahead_ms;
                *clock += u64::from(*ahead_s) * 1_000;
            }
            SessionStep::Cut => bench.is_cut = true,
            SessionStep::Heal => bench.is_cut = false,
            SessionStep::Freeze { node } => bench.freeze(usize::from(*node) % nodes),
            SessionStep::Resume { node } => bench.resume(usize::from(*node) % nodes),
            SessionStep::Kill { node } => {
                bench.kill(usize::from(*node) % nodes);
                self.has_killed = true;
            }
            SessionStep::Restart { node } => {
                let node = usize::from(*node) % nodes;
                if !bench.nodes[node].is_alive {
                    bench.restart(node);
                }
            }
            SessionStep::Doubt { node } => bench.doubt_members(usize::from(*node) % nodes),
            SessionStep::Introduce => bench.introduce(),
        }
    }

    /// Ends all failures, and checks that every call got its outcome and every key that did not
    /// run can run.
    fn conclude(&mut self) -> Result<(), String> {
        let bench = &mut self.bench;
        bench.is_cut = false;
        for node in 0..bench.nodes.len() {
            bench.resume(node);
            if !bench.nodes[node].is_alive {
                bench.restart(node);
            }
        }
        bench.introduce();
        bench.run(5_000);
        bench.check()?;
        for node in 0..bench.nodes.len() {
            if !bench.is_idle(node) {
                return Err(format!("router {node} does not come to rest"));
            }
        }
        for call in bench.keys.keys() {
            let is_alive = bench.nodes.iter().any(|node| node.me == call.router);
            if is_alive && !bench.outcomes.contains_key(call) {
                return Err(format!("{call} got no outcome"));
            }
        }
        // A router that died takes with it the knowledge of what it dispatched: its keys stay
        // taken, which is what the record is for.
        if self.has_killed {
            return Ok(());
        }
        for number in 0..KEYS {
            let key = key_number(number);
            if bench.dispatched.contains_key(&key) {
                continue;
            }
            let call = bench.record(0, &key);
            bench.run(1_000);
            if !bench.dispatched.contains_key(&key) {
                let refusal = &bench.refused[&call];
                return Err(format!("{key} never ran and is refused: {refusal:?}"));
            }
        }
        bench.check()
    }
}

fn key_number(number: u8) -> beechsaddle_core::names::RequestKey {
    key(&format!("claim-{}", number % KEYS))
}

fn is_safe(mut steps: Vec<SessionStep>) -> TestResult {
    steps.truncate(STEPS);
    let mut session = Session::new();
    for step in &steps {
        session.step(step);
        if let Err(fault) = session.bench.check() {
            return TestResult::error(fault);
        }
    }
    match session.conclude() {
        Ok(()) => TestResult::passed(),
        Err(fault) => TestResult::error(fault),
    }
}

fn number_from(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

// Callers send a few keys through three routers again and again while messages, answers, routers
// and the platform fail in random order. No key is dispatched twice, and no call that was refused
// as not run is dispatched; when all is well again, a key that never ran can run.
#[test]
fn interleavings_random() {
    let seed = number_from("ONCE_SEED", SEED);
    println!("seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, seed))
        .tests(number_from("ONCE_TESTS", TESTS))
        .quickcheck(is_safe as fn(Vec<SessionStep>) -> TestResult);
}
