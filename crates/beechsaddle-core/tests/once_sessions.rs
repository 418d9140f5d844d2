//! Golden sessions of dedup records under failure. `UPDATE_GOLDEN=1` writes the files anew.

mod once_support;

use beechsaddle_core::once::OnceOptions;
use beechsaddle_core::prelude::*;
use once_support::{OnceBench, check_golden, is_write, key};

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

/// A router of domain `nord` that has to ask the other one to commit `key`, and that other one.
fn asker_and_committer(bench: &OnceBench, key: &RequestKey) -> (usize, usize) {
    let committer = bench.picked(0, key);
    (1 - committer, committer)
}

fn dispatches(bench: &OnceBench, key: &RequestKey) -> usize {
    bench.dispatched.get(key).map_or(0, Vec::len)
}

fn refusal_of(bench: &OnceBench, call: &CallId) -> (RefusalReason, RanState) {
    let refusal = &bench.refused[call];
    (refusal.reason, refusal.ran)
}

// A caller retries at once through the balancer: one key reaches routers of two domains in the same
// millisecond, and both committers read the shard before either writes. The store takes one of the
// two writes; the other router reads again, finds the key taken, and tells its caller so.
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

// The write of the record takes effect, its answer is lost. The caller waits a little longer and
// gets its call dispatched once: the committer reads the shard back and finds its own record there.
// The same key through the other domain is told that it was dispatched.
#[test]
fn record_answer_lost() {
    let mut bench = two_domains();
    let claim = key("claim-18");
    let (asker, _) = asker_and_committer(&bench, &claim);
    let first = bench.record(asker, &claim);
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

// The committer makes the record durable and is killed before it tells the entry router. The caller
// sees a short delay: the entry router asks the platform itself, finds the record in its own name,
// and dispatches. Without the look it would have to refuse a call whose key is spent.
#[test]
fn record_committer_killed_before_reply() {
    let mut bench = two_domains();
    let claim = key("claim-19");
    let (asker, committer) = asker_and_committer(&bench, &claim);
    let call = bench.record(asker, &claim);
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

// The request to the committer and every call of the entry router on the platform hang. The caller
// is refused, "not run". Then all of it arrives: the record is made after the refusal. It must not
// lead to a dispatch, and the caller's retry through another domain must not find the key spent.
#[test]
fn record_late_after_refusal() {
    let mut bench = two_domains();
    let claim = key("claim-20");
    let (asker, committer) = asker_and_committer(&bench, &claim);
    let call = bench.record(asker, &claim);
    bench.freeze(committer);
    for _ in 0..31 {
        bench.now = bench.now.plus_ms(50);
        bench.tick(asker);
    }
    let expected = (RefusalReason::RecordUnavailable, RanState::No);
    assert_eq!(refusal_of(&bench, &call), expected);
    bench.resume(committer);
    bench.run(500);
    bench.check().unwrap();
    assert_eq!(dispatches(&bench, &claim), 0);
    assert!(bench.is_idle(asker));
    let retry = bench.record(2, &claim);
    bench.run(200);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&claim], vec![retry]);
    check_golden("once_late_record", &bench.transcript);
}

// The committer's write is still on its way when its answer is given up, and then the platform is
// cut off. The caller is refused, "not run". The write arrives after that. Only the entry router can
// release the record, so the committer must not let it believe that there is none.
#[test]
fn record_write_arrives_after_refusal() {
    let mut bench = two_domains();
    let claim = key("claim-33");
    let (asker, _) = asker_and_committer(&bench, &claim);
    let call = bench.record(asker, &claim);
    while !bench.parcels.iter().any(is_write) {
        bench.deliver(0);
    }
    bench.give_up_call(0);
    let write = bench.parcels.remove(0);
    bench.is_cut = true;
    bench.run(600);
    let expected = (RefusalReason::RecordUnavailable, RanState::No);
    assert_eq!(refusal_of(&bench, &call), expected);
    bench.is_cut = false;
    bench.parcels.push(write);
    bench.run(1_100);
    let retry = bench.record(2, &claim);
    bench.run(200);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&claim], vec![retry]);
}

// The committer is frozen with the shard read and the record not yet written, until long after the
// caller was served through the entry router itself. Nobody waits for the record any more: going on
// with it would cost a write and a conflict, and for a key that is free again it would spend it.
#[test]
fn record_overdue_not_written() {
    let mut bench = two_domains();
    let claim = key("claim-34");
    let (asker, committer) = asker_and_committer(&bench, &claim);
    let call = bench.record(asker, &claim);
    bench.deliver(0);
    bench.deliver(0);
    bench.freeze(committer);
    bench.run(2_000);
    assert_eq!(bench.dispatched[&claim], vec![call]);
    bench.resume(committer);
    bench.deliver(0);
    assert!(bench.parcels.is_empty(), "{:?}", bench.parcels);
}

// The platform was away for committer and entry router, and the caller was refused, "not run". Then
// the network delivers the request to the committer a second time, and the record is made. The
// answer is all that the entry router learns of it; it gives the key up, and the retry runs.
#[test]
fn record_request_doubled_after_refusal() {
    let mut bench = two_domains();
    let claim = key("claim-32");
    let (asker, _) = asker_and_committer(&bench, &claim);
    bench.is_cut = true;
    let call = bench.record(asker, &claim);
    let doubled = bench.parcels[0].clone();
    bench.deliver_all();
    let expected = (RefusalReason::RecordUnavailable, RanState::No);
    assert_eq!(refusal_of(&bench, &call), expected);
    bench.is_cut = false;
    bench.run(1_100);
    bench.parcels.push(doubled);
    bench.run(500);
    bench.check().unwrap();
    let retry = bench.record(2, &claim);
    bench.run(200);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&claim], vec![retry]);
}

// The entry router is frozen with the good news already in its inbox, for longer than a record is
// kept. Meanwhile the record expired and another call ran the key. When the router goes on it reads
// the old answer first; acting upon it would run the key a second time.
#[test]
fn record_answer_read_after_freeze() {
    let mut bench = two_domains();
    let claim = key("claim-21");
    let (asker, committer) = asker_and_committer(&bench, &claim);
    let call = bench.record(asker, &claim);
    bench.deliver(0);
    bench.freeze(asker);
    bench.run(RETENTION_MS + 1_000);
    let other = bench.record(committer, &claim);
    bench.run(200);
    assert_eq!(bench.dispatched[&claim], vec![other]);
    bench.resume(asker);
    bench.deliver_all();
    bench.run(200);
    bench.check().unwrap();
    let expected = (RefusalReason::RecordUnavailable, RanState::No);
    assert_eq!(refusal_of(&bench, &call), expected);
}

// The platform is cut off. The first caller is refused as soon as the connection fails, the next
// ones without a call on the platform, all with a time to come back. After the outage the same key
// runs: nothing was written for it.
#[test]
fn record_platform_away() {
    let mut bench = two_domains();
    bench.is_cut = true;
    let claim = key("claim-22");
    let (asker, _) = asker_and_committer(&bench, &claim);
    let start = bench.now;
    let first = bench.record(asker, &claim);
    bench.deliver_all();
    let calls_before = bench.transcript.len();
    let second = bench.record(asker, &claim);
    bench.deliver_all();
    assert_eq!(bench.now, start);
    for call in [&first, &second] {
        let expected = (RefusalReason::RecordUnavailable, RanState::No);
        assert_eq!(refusal_of(&bench, call), expected);
        assert_eq!(bench.refused[call].retry_after_ms, Some(1_000));
    }
    let asked = bench.transcript[calls_before..]
        .iter()
        .any(|line| line.contains("\"Platform\""));
    assert!(!asked, "the platform is left alone while it is away");
    bench.is_cut = false;
    bench.run(1_100);
    let third = bench.record(asker, &claim);
    bench.run(200);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&claim], vec![third]);
    check_golden("once_platform_away", &bench.transcript);
}

// The platform takes calls and never answers. The first caller waits its time out; after that every
// other is refused at once, for no answer can be hoped for, until one has come.
#[test]
fn record_platform_silent() {
    let mut bench = two_domains();
    let claim = key("claim-23");
    let committer = bench.picked(0, &claim);
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

// Two routers of one domain both think that they are picked, and each commits a batch of its own.
// Every caller gets its call dispatched: the loser of a write reads again and adds its records to
// those of the other, instead of writing over them.
#[test]
fn record_two_committers_at_once() {
    let mut bench = two_domains();
    let claims = [
        "offer-0", "offer-1", "offer-2", "offer-3", "offer-4", "offer-5",
    ]
    .map(key);
    let committer = bench.picked(0, &claims[0]);
    let other = 1 - committer;
    bench.doubt_members(other);
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

// The committer is frozen while its write is on the way and wakes up after the entry router took
// over, dispatched, and the caller's retry was refused. Its old write meets a newer version, and
// what it then tells the entry router changes nothing.
#[test]
fn record_committer_frozen_and_resumed() {
    let mut bench = two_domains();
    let claim = key("claim-25");
    let (asker, committer) = asker_and_committer(&bench, &claim);
    let call = bench.record(asker, &claim);
    while !bench.parcels.iter().any(is_write) {
        bench.deliver(0);
    }
    let write = bench.parcels.remove(0);
    bench.freeze(committer);
    bench.run(600);
    assert_eq!(bench.dispatched[&claim], vec![call]);
    bench.parcels.push(write);
    bench.resume(committer);
    bench.run(600);
    let retry = bench.record(2, &claim);
    bench.run(200);
    bench.check().unwrap();
    let expected = (RefusalReason::AlreadyDispatched, RanState::Unknown);
    assert_eq!(refusal_of(&bench, &retry), expected);
    check_golden("once_committer_frozen", &bench.transcript);
}

// No target is found for a call whose record is durable. The call is refused "not run", the record
// is given up, and the retry runs.
#[test]
fn forget_frees_key() {
    let mut bench = two_domains();
    let claim = key("claim-26");
    let (asker, _) = asker_and_committer(&bench, &claim);
    bench.record_or_forget(asker, &claim, true);
    bench.run(200);
    assert_eq!(dispatches(&bench, &claim), 0);
    assert!(bench.is_idle(asker));
    let retry = bench.record(2, &claim);
    bench.run(200);
    bench.check().unwrap();
    assert_eq!(bench.dispatched[&claim], vec![retry]);
}
