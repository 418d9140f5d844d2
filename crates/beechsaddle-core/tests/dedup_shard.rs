//! Tests of the contents and the retention of a dedup shard.

mod dedup_support;

use beechsaddle_core::dedup::DedupOptions;
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::prelude::*;
use dedup_support::{DedupBench, key};

/// The retention of records in these sessions, in milliseconds.
const RETENTION_MS: u64 = 20 * 60 * 1_000;

/// Creates two domains with two routers each, and one shard.
fn two_domains() -> DedupBench {
    let options = DedupOptions {
        shard_count: 1,
        retention_ms: RETENTION_MS,
        ..DedupOptions::default()
    };
    let hosts = [
        ("anis", "nord"),
        ("beifuss", "nord"),
        ("dill", "sued"),
        ("estragon", "sued"),
    ];
    DedupBench::new(options, &hosts)
}

fn refusal_of(bench: &DedupBench, call: &CallId) -> (RefusalReason, RanState) {
    let refusal = &bench.refused[call];
    (refusal.reason, refusal.ran)
}

// The store returns without the shard, as after a failed restore. Every key in it may have run, so
// calls must be refused until an operator intervenes, instead of a new shard being created.
#[test]
fn record_shard_lost() {
    let mut bench = two_domains();
    let committer = bench.committer(0, &key("claim-27"));
    bench.record(committer, &key("claim-27"));
    bench.run(200);
    bench.store.lose_object("dedup/0");
    bench.record(committer, &key("claim-28"));
    let call = bench.record(committer, &key("claim-29"));
    bench.run(200);
    let expected = (RefusalReason::RecordUnavailable, RanState::No);
    assert_eq!(refusal_of(&bench, &call), expected);
    assert!(bench.store.get("dedup/0").is_none());
}

// The clocks of one domain are set forward by a year. A record with an observed age of a few
// seconds must not be dropped, or its key could run again.
#[test]
fn retention_clock_set_forward() {
    let mut bench = two_domains();
    let claim = key("claim-30");
    let call = bench.record(0, &claim);
    bench.run(1_000);
    let other = bench.committer(2, &claim);
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

// The committers of two domains take turns in observing a record. Its age must grow only by the
// time that any of them observed, and after the retention the key is free.
#[test]
fn retention_ends_after_observed_time() {
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
    let committer = bench.committer(0, &claim);
    let again = bench.record(committer, &claim);
    bench.run(1_000);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&claim], vec![again]);
}

// A full shard refuses further keys as not run, retains its keys, and stays below the platform's
// size limit.
#[test]
fn record_shard_full() {
    let options = DedupOptions {
        shard_count: 1,
        max_records: 40,
        ..DedupOptions::default()
    };
    let mut bench = DedupBench::new(options, &[("anis", "nord")]);
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
        panic!("the shard exists");
    };
    assert_eq!(shard.records.len(), 40);
}

// The platform becomes unreachable before a release is written, and the router drains. It must not
// wait for the end of the outage, but still writes the release if it stays.
#[test]
fn is_idle_platform_unreachable() {
    let mut bench = two_domains();
    let claim = key("claim-35");
    let committer = bench.committer(0, &claim);
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
