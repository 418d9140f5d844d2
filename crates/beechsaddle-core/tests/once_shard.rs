//! What a dedup shard holds, and for how long.

mod once_support;

use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::once::OnceOptions;
use beechsaddle_core::prelude::*;
use once_support::{OnceBench, key};

/// How long these sessions keep records, in milliseconds.
const RETENTION_MS: u64 = 20 * 60 * 1_000;

/// Two domains with two routers each, one shard.
fn two_domains() -> OnceBench {
    let options = OnceOptions {
        shard_count: 1,
        retention_ms: RETENTION_MS,
        ..OnceOptions::default()
    };
    let hosts = [
        ("anis", "nord"),
        ("beifuss", "nord"),
        ("dill", "sued"),
        ("estragon", "sued"),
    ];
    OnceBench::new(options, &hosts)
}

fn refusal_of(bench: &OnceBench, call: &CallId) -> (RefusalReason, RanState) {
    let refusal = &bench.refused[call];
    (refusal.reason, refusal.ran)
}

// The store comes back without the shard, as after a bad restore. Every key in it may have run, so
// calls are refused until an operator has looked, instead of starting the shard anew.
#[test]
fn record_shard_lost() {
    let mut bench = two_domains();
    let committer = bench.picked(0, &key("claim-27"));
    bench.record(committer, &key("claim-27"));
    bench.run(200);
    bench.store.lose("dedup/0");
    bench.record(committer, &key("claim-28"));
    let call = bench.record(committer, &key("claim-29"));
    bench.run(200);
    let expected = (RefusalReason::RecordUnavailable, RanState::No);
    assert_eq!(refusal_of(&bench, &call), expected);
    assert!(bench.store.get("dedup/0").is_none());
}

// The clocks of one domain are set forward by a year. A record that its committer knows is a few
// seconds old, by any count of time that passed; to drop it now would let the key run again.
#[test]
fn retention_clock_set_forward() {
    let mut bench = two_domains();
    let claim = key("claim-30");
    let call = bench.record(0, &claim);
    bench.run(1_000);
    let other = bench.picked(2, &claim);
    bench.record(other, &key("claim-29"));
    bench.run(1_000);
    assert_eq!(bench.dispatched[&claim], vec![call.clone()]);
    bench.nodes[2].clock_ahead_ms = 365 * 24 * 60 * 60 * 1_000;
    bench.nodes[3].clock_ahead_ms = 365 * 24 * 60 * 60 * 1_000;
    bench.run(1_000);
    bench.record(2, &claim);
    bench.run(1_000);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&claim], vec![call]);
}

// A record is watched by one domain's committer while the other's comes and goes. Its age grows by
// what any of them saw pass, never by more, and after the retention the key is free.
#[test]
fn retention_ends_after_watching() {
    let minute_ms = 60 * 1_000;
    let mut bench = two_domains();
    let claim = key("claim-31");
    let call = bench.record(0, &claim);
    bench.run(RETENTION_MS - minute_ms);
    bench.record(2, &claim);
    bench.run(1_000);
    bench.record(0, &claim);
    bench.run(1_000);
    assert_eq!(bench.dispatched[&claim], vec![call]);
    bench.run(minute_ms);
    bench.dispatched.clear();
    let committer = bench.picked(0, &claim);
    let again = bench.record(committer, &claim);
    bench.run(1_000);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&claim], vec![again]);
}

// A shard is full. Further keys are refused as not run, keys in it are still known, and no object
// outgrows what the platform holds.
#[test]
fn record_shard_full() {
    let options = OnceOptions {
        shard_count: 1,
        max_records: 40,
        ..OnceOptions::default()
    };
    let mut bench = OnceBench::new(options, &[("anis", "nord")]);
    let calls: Vec<CallId> = (0..50)
        .map(|number| bench.record(0, &key(&format!("offer-{number}"))))
        .collect();
    bench.run(1_000);
    bench.check().unwrap();
    assert_eq!(bench.dispatched.len(), 40);
    assert_eq!(bench.refused.len(), 10);
    for call in calls.iter().filter(|call| bench.refused.contains_key(call)) {
        let expected = (RefusalReason::RecordUnavailable, RanState::No);
        assert_eq!(refusal_of(&bench, call), expected);
    }
    let Some(PlatformObject::Dedup(shard)) = bench.store.get("dedup/0") else {
        panic!("the shard is there");
    };
    assert_eq!(shard.records.len(), 40);
}

// A call found no target just as the platform went away, and the router is asked to shut down. It
// does not wait for an outage of unknown length to write one release; if it stays, it writes it.
#[test]
fn is_idle_platform_away() {
    let mut bench = two_domains();
    let claim = key("claim-35");
    let committer = bench.picked(0, &claim);
    bench.record_or_forget(committer, &claim, true);
    while bench.outcomes.is_empty() {
        bench.deliver(0);
    }
    assert!(!bench.is_idle(committer));
    bench.is_cut = true;
    bench.run(100);
    assert!(bench.is_idle(committer));
    bench.is_cut = false;
    bench.run(2_000);
    let retry = bench.record(2, &claim);
    bench.run(200);
    assert_eq!(bench.dispatched[&claim], vec![retry]);
}
