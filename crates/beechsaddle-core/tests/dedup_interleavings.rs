//! Random interleavings of calls, deliveries and failures of dedup records.
//!
//! `ONCE_SEED=<seed> ONCE_TESTS=<count>` selects other sessions; the seed is printed on failure.

mod dedup_support;

use beechsaddle_core::dedup::DedupOptions;
use dedup_support::{DedupBench, Envelope, key};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

/// The hosts: two domains, one of them with two routers.
const HOSTS: [(&str, &str); 3] = [("anis", "nord"), ("beifuss", "nord"), ("dill", "sued")];

/// The number of distinct keys.
const KEYS: u8 = 3;

/// The seed and the number of sessions in CI.
const SEED: u64 = 20;
const TESTS: u64 = 400;

/// The maximum number of steps in a session.
const STEPS: usize = 120;

/// One step of a session; numbers are taken modulo the number of choices.
#[derive(Clone, Debug)]
enum SessionStep {
    Record { node: u8, key: u8, forgets: bool },
    Deliver { envelope: u8 },
    DeliverAll,
    LoseAnswer { envelope: u8 },
    TimeOutCall { envelope: u8 },
    LoseMessage { envelope: u8 },
    DuplicateMessage { envelope: u8 },
    PassTime { ticks: u8 },
    SetClock { node: u8, ahead_s: u8 },
    Cut,
    Heal,
    Freeze { node: u8 },
    Resume { node: u8 },
    Kill { node: u8 },
    Restart { node: u8 },
    Isolate { node: u8 },
    Introduce,
}

impl Arbitrary for SessionStep {
    fn arbitrary(random: &mut Gen) -> Self {
        let node = u8::arbitrary(random);
        let envelope = u8::arbitrary(random);
        match u8::arbitrary(random) % 40 {
            0..=7 => SessionStep::Record {
                node,
                key: envelope,
                forgets: u8::arbitrary(random).is_multiple_of(4),
            },
            8..=17 => SessionStep::Deliver { envelope },
            18 => SessionStep::DeliverAll,
            19..=20 => SessionStep::LoseAnswer { envelope },
            21..=22 => SessionStep::TimeOutCall { envelope },
            23 => SessionStep::LoseMessage { envelope },
            24 => SessionStep::DuplicateMessage { envelope },
            25..=29 => SessionStep::PassTime {
                ticks: envelope % 32,
            },
            30 => SessionStep::SetClock {
                node,
                ahead_s: envelope,
            },
            31 => SessionStep::Cut,
            32..=33 => SessionStep::Heal,
            34 => SessionStep::Freeze { node },
            35 => SessionStep::Resume { node },
            36 => SessionStep::Kill { node },
            37 => SessionStep::Restart { node },
            38 => SessionStep::Isolate { node },
            _ => SessionStep::Introduce,
        }
    }
}

/// A running session.
struct Session {
    bench: DedupBench,
    has_killed: bool,
}

impl Session {
    fn new() -> Self {
        let options = DedupOptions {
            shard_count: 1,
            ..DedupOptions::default()
        };
        let mut bench = DedupBench::new(options, &HOSTS);
        bench.is_recorded = false;
        Session {
            bench,
            has_killed: false,
        }
    }

    fn step(&mut self, step: &SessionStep) {
        let bench = &mut self.bench;
        let nodes = bench.nodes.len();
        let envelopes = bench.envelopes.len();
        let envelope_at =
            |envelope: &u8| (envelopes > 0).then(|| usize::from(*envelope) % envelopes.max(1));
        match step {
            SessionStep::Record { node, key, forgets } => {
                let node = usize::from(*node) % nodes;
                if bench.nodes[node].is_alive && !bench.nodes[node].is_frozen {
                    bench.record_or_forget(node, &key_number(*key), *forgets);
                }
            }
            SessionStep::Deliver { envelope } => {
                if let Some(index) = envelope_at(envelope) {
                    bench.deliver(index);
                }
            }
            SessionStep::DeliverAll => bench.deliver_all(),
            SessionStep::LoseAnswer { envelope } => {
                if let Some(index) = envelope_at(envelope) {
                    bench.lose_answer(index);
                }
            }
            SessionStep::TimeOutCall { envelope } => {
                if let Some(index) = envelope_at(envelope) {
                    bench.time_out_call(index);
                }
            }
            SessionStep::LoseMessage { envelope } => {
                if let Some(index) = envelope_at(envelope)
                    && matches!(bench.envelopes[index], Envelope::Peer { .. })
                {
                    bench.envelopes.remove(index);
                }
            }
            SessionStep::DuplicateMessage { envelope } => {
                if let Some(index) = envelope_at(envelope)
                    && matches!(bench.envelopes[index], Envelope::Peer { .. })
                {
                    let duplicate = bench.envelopes[index].clone();
                    bench.envelopes.push(duplicate);
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
            SessionStep::Isolate { node } => bench.isolate(usize::from(*node) % nodes),
            SessionStep::Introduce => bench.introduce(),
        }
    }

    /// Ends all faults, and checks that every call got its outcome and every key that did not run
    /// can run.
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
                return Err(format!("router {node} does not become idle"));
            }
        }
        for call in bench.keys.keys() {
            let is_alive = bench.nodes.iter().any(|node| node.me == call.router);
            if is_alive && !bench.outcomes.contains_key(call) {
                return Err(format!("{call} got no outcome"));
            }
        }
        // A router that died cannot release its records, so its keys stay taken, as intended.
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

// Callers repeatedly send a few keys through three routers while messages, replies, routers and the
// platform fail in random order. No key is dispatched twice, and no call that was refused as not
// run is dispatched; after all faults end, a key that never ran can run.
#[test]
fn interleavings_random() {
    let seed = number_from("ONCE_SEED", SEED);
    println!("seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, seed))
        .tests(number_from("ONCE_TESTS", TESTS))
        .quickcheck(is_safe as fn(Vec<SessionStep>) -> TestResult);
}
