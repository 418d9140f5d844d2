//! Golden sessions of dedup records under faults. `UPDATE_GOLDEN=1` rewrites the files.

mod dedup_support;

use beechsaddle_core::dedup::DedupOptions;
use beechsaddle_core::prelude::*;
use dedup_support::{DedupBench, check_golden, is_write, key};

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

/// Returns a router of domain `nord` that does not commit `key` itself, and the committer.
fn requester_and_committer(bench: &DedupBench, key: &RequestKey) -> (usize, usize) {
    let committer = bench.committer(0, key);
    (1 - committer, committer)
}

fn dispatches(bench: &DedupBench, key: &RequestKey) -> usize {
    bench.dispatched.get(key).map_or(0, Vec::len)
}

fn refusal_of(bench: &DedupBench, call: &CallId) -> (RefusalReason, RanState) {
    let refusal = &bench.refused[call];
    (refusal.reason, refusal.ran)
}

// A client retries through the load balancer: one key reaches routers of two domains in the same
// millisecond, and both committers read the shard before either writes. Only one write may succeed;
// the other router reads again, finds the key taken and refuses its call.
#[test]
fn record_same_key_in_two_domains() {
    let mut bench = two_domains();
    let claim = key("claim-17");
    let first = bench.record(0, &claim);
    let second = bench.record(2, &claim);
    bench.run(200);
    bench.check().unwrap();
    assert_eq!(dispatches(&bench, &claim), 1);
    assert_eq!(bench.refused.len(), 1);
    let loser = if bench.refused.contains_key(&first) {
        &first
    } else {
        &second
    };
    let expected = (RefusalReason::AlreadyDispatched, RanState::Unknown);
    assert_eq!(refusal_of(&bench, loser), expected);
    check_golden("once_two_domains", &bench.transcript);
}

// The write of a record succeeds but its reply is lost. The committer must find its own record when
// it reads the shard again, and the call is dispatched once. A call with the same key in the other
// domain is refused as already dispatched.
#[test]
fn record_answer_lost() {
    let mut bench = two_domains();
    let claim = key("claim-18");
    let (requester, _) = requester_and_committer(&bench, &claim);
    let first = bench.record(requester, &claim);
    bench.lose_next_write_answer();
    bench.run(200);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&claim], vec![first]);
    let second = bench.record(2, &claim);
    bench.run(200);
    bench.check().unwrap();
    let expected = (RefusalReason::AlreadyDispatched, RanState::Unknown);
    assert_eq!(refusal_of(&bench, &second), expected);
    check_golden("once_answer_lost", &bench.transcript);
}

// The committer is killed between the durable write and its reply. The entry router must find the
// record under its own name on the platform and dispatch, rather than refuse a call whose key is
// taken.
#[test]
fn record_committer_killed_before_reply() {
    let mut bench = two_domains();
    let claim = key("claim-19");
    let (requester, committer) = requester_and_committer(&bench, &claim);
    let call = bench.record(requester, &claim);
    bench.deliver(0);
    while dispatches(&bench, &claim) == 0 && bench.store.get("dedup/0").is_none() {
        bench.deliver(0);
    }
    bench.kill(committer);
    bench.run(500);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&claim], vec![call]);
    check_golden("once_committer_killed", &bench.transcript);
}

// The request to the committer and all platform calls of the entry router hang, and the call is
// refused as not run. Then all of them arrive. The late record must not lead to a dispatch, and a
// retry through another domain must find the key free.
#[test]
fn record_late_after_refusal() {
    let mut bench = two_domains();
    let claim = key("claim-20");
    let (requester, committer) = requester_and_committer(&bench, &claim);
    let call = bench.record(requester, &claim);
    bench.freeze(committer);
    for _ in 0..31 {
        bench.now = bench.now.plus_ms(50);
        bench.tick(requester);
    }
    let expected = (RefusalReason::RecordUnavailable, RanState::No);
    assert_eq!(refusal_of(&bench, &call), expected);
    bench.resume(committer);
    bench.run(500);
    bench.check().unwrap();
    assert_eq!(dispatches(&bench, &claim), 0);
    assert!(bench.is_idle(requester));
    let retry = bench.record(2, &claim);
    bench.run(200);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&claim], vec![retry]);
    check_golden("once_late_record", &bench.transcript);
}

// The committer's write times out while it is in flight, then the platform is cut off and the call
// is refused as not run. The write arrives later. Only the entry router can release the record, so
// the committer's reply must not imply that there is none.
#[test]
fn record_write_arrives_after_refusal() {
    let mut bench = two_domains();
    let claim = key("claim-33");
    let (requester, _) = requester_and_committer(&bench, &claim);
    let call = bench.record(requester, &claim);
    while !bench.envelopes.iter().any(is_write) {
        bench.deliver(0);
    }
    bench.time_out_call(0);
    let write = bench.envelopes.remove(0);
    bench.is_cut = true;
    bench.run(600);
    let expected = (RefusalReason::RecordUnavailable, RanState::No);
    assert_eq!(refusal_of(&bench, &call), expected);
    bench.is_cut = false;
    bench.envelopes.push(write);
    bench.run(1_100);
    let retry = bench.record(2, &claim);
    bench.run(200);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&claim], vec![retry]);
}

// The committer is frozen between the read of the shard and the write, until the entry router has
// committed the record itself. The expired record must not be written: that would cost a write and
// a conflict, and would take a key that is free again.
#[test]
fn record_overdue_not_written() {
    let mut bench = two_domains();
    let claim = key("claim-34");
    let (requester, committer) = requester_and_committer(&bench, &claim);
    let call = bench.record(requester, &claim);
    bench.deliver(0);
    bench.deliver(0);
    bench.freeze(committer);
    bench.run(2_000);
    assert_eq!(bench.dispatched[&claim], vec![call]);
    bench.resume(committer);
    bench.deliver(0);
    assert!(bench.envelopes.is_empty(), "{:?}", bench.envelopes);
}

// The platform was unreachable and the call was refused as not run. Then the network delivers the
// request to the committer a second time, and the record is created. The entry router must release
// it on the reply, so that a retry can run.
#[test]
fn record_request_duplicated_after_refusal() {
    let mut bench = two_domains();
    let claim = key("claim-32");
    let (requester, _) = requester_and_committer(&bench, &claim);
    bench.is_cut = true;
    let call = bench.record(requester, &claim);
    let duplicate = bench.envelopes[0].clone();
    bench.deliver_all();
    let expected = (RefusalReason::RecordUnavailable, RanState::No);
    assert_eq!(refusal_of(&bench, &call), expected);
    bench.is_cut = false;
    bench.run(1_100);
    bench.envelopes.push(duplicate);
    bench.run(500);
    bench.check().unwrap();
    let retry = bench.record(2, &claim);
    bench.run(200);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&claim], vec![retry]);
}

// The entry router is frozen with a successful reply unread for longer than the retention.
// Meanwhile the record expired and another call ran the key. A dispatch on the old reply would run
// the key a second time.
#[test]
fn record_answer_read_after_freeze() {
    let mut bench = two_domains();
    let claim = key("claim-21");
    let (requester, committer) = requester_and_committer(&bench, &claim);
    let call = bench.record(requester, &claim);
    bench.deliver(0);
    bench.freeze(requester);
    bench.run(RETENTION_MS + 1_000);
    let other = bench.record(committer, &claim);
    bench.run(200);
    assert_eq!(bench.dispatched[&claim], vec![other]);
    bench.resume(requester);
    bench.deliver_all();
    bench.run(200);
    bench.check().unwrap();
    let expected = (RefusalReason::RecordUnavailable, RanState::No);
    assert_eq!(refusal_of(&bench, &call), expected);
}

// The platform is cut off. The first call must be refused as soon as the connection fails, and
// further calls without a platform call, all with a `Retry-After`. After the outage the same key
// can run, since nothing was written.
#[test]
fn record_platform_unreachable() {
    let mut bench = two_domains();
    bench.is_cut = true;
    let claim = key("claim-22");
    let (requester, _) = requester_and_committer(&bench, &claim);
    let start = bench.now;
    let first = bench.record(requester, &claim);
    bench.deliver_all();
    let calls_before = bench.transcript.len();
    let second = bench.record(requester, &claim);
    bench.deliver_all();
    assert_eq!(bench.now, start);
    for call in [&first, &second] {
        let expected = (RefusalReason::RecordUnavailable, RanState::No);
        assert_eq!(refusal_of(&bench, call), expected);
        assert_eq!(bench.refused[call].retry_after_ms, Some(1_000));
    }
    let has_call = bench.transcript[calls_before..]
        .iter()
        .any(|line| line.contains("\"Platform\""));
    assert!(
        !has_call,
        "no platform call is made while the platform is unreachable"
    );
    bench.is_cut = false;
    bench.run(1_100);
    let third = bench.record(requester, &claim);
    bench.run(200);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&claim], vec![third]);
    check_golden("once_platform_away", &bench.transcript);
}

// The platform accepts calls and never replies. The first call waits until its timeout; after that
// further calls must be refused at once until a reply arrives.
#[test]
fn record_platform_unresponsive() {
    let mut bench = two_domains();
    let claim = key("claim-23");
    let committer = bench.committer(0, &claim);
    let first = bench.record(committer, &claim);
    for _ in 0..30 {
        bench.now = bench.now.plus_ms(50);
        bench.tick(committer);
    }
    let expected = (RefusalReason::RecordUnavailable, RanState::No);
    assert_eq!(refusal_of(&bench, &first), expected);
    let second = bench.record(committer, &key("claim-24"));
    assert_eq!(refusal_of(&bench, &second), expected);
    bench.run(200);
    let third = bench.record(committer, &key("claim-24"));
    bench.run(200);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&key("claim-24")], vec![third]);
}

// Two routers of one domain both act as the committer and commit a batch each. Every call must be
// dispatched: the router whose write fails reads again and adds its records instead of overwriting.
#[test]
fn record_two_committers_at_once() {
    let mut bench = two_domains();
    let claims = [
        "offer-0", "offer-1", "offer-2", "offer-3", "offer-4", "offer-5",
    ]
    .map(key);
    let committer = bench.committer(0, &claims[0]);
    let other = 1 - committer;
    bench.isolate(other);
    for (number, claim) in claims.iter().enumerate() {
        bench.record(if number % 2 == 0 { committer } else { other }, claim);
    }
    bench.run(500);
    bench.check().unwrap();
    for claim in &claims {
        assert_eq!(dispatches(&bench, claim), 1, "{claim}");
    }
    check_golden("once_two_committers", &bench.transcript);
}

// The committer is frozen while its write is in flight, and resumes after the entry router took
// over and dispatched. Its old write must fail on the newer version, and its reply must change
// nothing. A retry is refused.
#[test]
fn record_committer_frozen_and_resumed() {
    let mut bench = two_domains();
    let claim = key("claim-25");
    let (requester, committer) = requester_and_committer(&bench, &claim);
    let call = bench.record(requester, &claim);
    while !bench.envelopes.iter().any(is_write) {
        bench.deliver(0);
    }
    let write = bench.envelopes.remove(0);
    bench.freeze(committer);
    bench.run(600);
    assert_eq!(bench.dispatched[&claim], vec![call]);
    bench.envelopes.push(write);
    bench.resume(committer);
    bench.run(600);
    let retry = bench.record(2, &claim);
    bench.run(200);
    bench.check().unwrap();
    let expected = (RefusalReason::AlreadyDispatched, RanState::Unknown);
    assert_eq!(refusal_of(&bench, &retry), expected);
    check_golden("once_committer_frozen", &bench.transcript);
}

// No target is found for a call with a durable record. The call is refused as not run, and the
// record must be released so that a retry can run.
#[test]
fn forget_frees_key() {
    let mut bench = two_domains();
    let claim = key("claim-26");
    let (requester, _) = requester_and_committer(&bench, &claim);
    bench.record_or_forget(requester, &claim, true);
    bench.run(200);
    assert_eq!(dispatches(&bench, &claim), 0);
    assert!(bench.is_idle(requester));
    let retry = bench.record(2, &claim);
    bench.run(200);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&claim], vec![retry]);
}
