//! Tests of the roster of targets and the choice between them.

use std::net::SocketAddr;

use beechsaddle_core::gateway::{
    AttemptLoad, ChoiceInput, EvacuationRegistry, PolicyOptions, PromptPart, PromptShape,
    RosterChange, TargetChoice, TargetPhase, TargetRecord, TargetRoster, choose_target,
};
use beechsaddle_core::prelude::*;

const START: ClockTime = ClockTime::from_millis(1_000_000);

fn record(name: &str, domain: &str) -> TargetRecord {
    TargetRecord {
        name: TargetName::new(name),
        started: None,
        revision: 1,
        service: ServiceName::new("engine"),
        version: SoftwareVersion::new("v1"),
        address: address(),
        domain: DomainName::new(domain),
        slots: 6,
        phase: TargetPhase::Ready,
        cold_ms: 0,
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 80))
}

fn roster(names: &[&str]) -> TargetRoster {
    let mut roster = TargetRoster::default();
    let records = names.iter().map(|name| record(name, "north"));
    roster.take_listing(START, records);
    roster
}

fn ready(roster: &TargetRoster) -> Vec<String> {
    let service = ServiceName::new("engine");
    let entries = roster.ready(&service);
    entries.map(|entry| entry.record.name.to_string()).collect()
}

fn prompt(shared: &str) -> PromptShape {
    let part = |id: &str, tokens| PromptPart {
        id: id.to_owned(),
        tokens,
    };
    PromptShape {
        parts: vec![part(shared, 13_000), part("own", 3_000)],
    }
}

fn choose(
    roster: &TargetRoster,
    now: ClockTime,
    prompt: &PromptShape,
    tried: &[TargetName],
) -> Option<TargetChoice> {
    let input = ChoiceInput {
        service: &ServiceName::new("engine"),
        version: None,
        is_engine: !prompt.parts.is_empty(),
        domain: &DomainName::new("north"),
        prompt,
        request_id: "id",
        tried,
        runs_once: false,
        suspect: None,
        evacuations: &EvacuationRegistry::disabled(),
        warm_up: None,
        routers: 1,
        policy: PolicyOptions::default(),
    };
    choose_target(roster, now, input)
}

#[test]
fn draining_gets_no_new_work() {
    let mut roster = roster(&["a", "b"]);
    let mut leaving = record("a", "north");
    leaving.phase = TargetPhase::Draining;
    let change = roster.put(START, leaving);
    assert_eq!(change, Some(RosterChange::Draining(TargetName::new("a"))));
    assert_eq!(ready(&roster), ["b"]);
}

#[test]
fn removed_is_gone_at_once_without_outage() {
    let mut roster = roster(&["a", "b"]);
    let change = roster.remove(START, &TargetName::new("a"));
    assert_eq!(
        change,
        Some(RosterChange::Gone(TargetName::new("a"), address()))
    );
    assert_eq!(ready(&roster), ["b"]);
}

/// Entries expire during a store outage and are missing from the first listing afterwards. The
/// targets stay in use until they have had time to write their entries again, and are gone after
/// that.
#[test]
fn expired_during_an_outage_stays_for_grace_period() {
    let mut roster = roster(&["a", "b"]);
    roster.record_outage(START);
    let back = START.plus_ms(100);
    let changes = roster.take_listing(back, [record("b", "north")]);
    assert_eq!(changes, [RosterChange::Unconfirmed(TargetName::new("a"))]);
    assert_eq!(ready(&roster), ["a", "b"]);
    assert!(roster.expire(back.plus_ms(1_500)).is_empty());
    let gone = roster.expire(back.plus_ms(2_500));
    assert_eq!(gone, [RosterChange::Gone(TargetName::new("a"), address())]);
    assert_eq!(ready(&roster), ["b"]);
}

/// A removal that was told once more took a target out that had registered again since.
#[test]
fn removal_before_the_entry_changes_nothing() {
    let mut roster = roster(&["a"]);
    let name = TargetName::new("a");
    let mut again = record("a", "north");
    again.revision += 5;
    let revision = again.revision;
    roster.put(START, again);
    assert_eq!(roster.remove_at(START, &name, revision - 1), None);
    assert_eq!(ready(&roster), ["a"]);
    let gone = roster.remove_at(START, &name, revision);
    assert_eq!(gone, Some(RosterChange::Gone(name, address())));
}

#[test]
fn expired_and_rewritten_stays() {
    let mut roster = roster(&["a"]);
    roster.record_outage(START);
    roster.remove(START.plus_ms(50), &TargetName::new("a"));
    assert_eq!(roster.put(START.plus_ms(900), record("a", "north")), None);
    assert!(roster.expire(START.plus_ms(9_000)).is_empty());
    assert_eq!(ready(&roster), ["a"]);
}

/// A draining target whose entry is missing after an outage has left.
#[test]
fn draining_and_missing_after_an_outage_is_gone() {
    let mut roster = roster(&["a"]);
    let mut leaving = record("a", "north");
    leaving.phase = TargetPhase::Draining;
    roster.put(START, leaving);
    roster.record_outage(START);
    let change = roster.remove(START.plus_ms(50), &TargetName::new("a"));
    assert_eq!(
        change,
        Some(RosterChange::Gone(TargetName::new("a"), address()))
    );
}

/// All requests with one shared part go to one engine, whichever router chooses; different parts
/// spread over all engines.
#[test]
fn choose_shared_part_has_one_affinity_target() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let roster = roster(&names);
    let mut used = std::collections::BTreeMap::<String, u32>::new();
    for number in 0..120 {
        let prompt = prompt(&format!("part-{number}"));
        let choice = choose(&roster, START, &prompt, &[]).expect("a target");
        assert!(choice.is_affinity_target);
        assert_eq!(choice.load.prefill_tokens, 3_000);
        *used.entry(choice.target.to_string()).or_default() += 1;
    }
    assert_eq!(used.len(), names.len());
    assert!(used.values().all(|count| *count <= 40), "{used:?}");
}

/// The affinity target of a part has work that takes far longer than processing the part again: the
/// request goes elsewhere. With a little work it stays.
#[test]
fn choose_loaded_affinity_target_is_avoided() {
    let mut roster = roster(&["a", "b", "c"]);
    let prompt = prompt("part");
    let affinity = choose(&roster, START, &prompt, &[])
        .expect("a target")
        .target;
    let some = AttemptLoad {
        prefill_tokens: 5_000,
    };
    roster.stats_mut(&affinity).expect("stats").start(some);
    let choice = choose(&roster, START, &prompt, &[]).expect("a target");
    assert_eq!(choice.target, affinity);
    let much = AttemptLoad {
        prefill_tokens: 60_000,
    };
    roster.stats_mut(&affinity).expect("stats").start(much);
    let choice = choose(&roster, START, &prompt, &[]).expect("a target");
    assert_ne!(choice.target, affinity);
    assert_eq!(choice.load.prefill_tokens, 16_000);
}

#[test]
fn choose_excludes_tried_and_ejected() {
    let mut roster = roster(&["a", "b"]);
    let tried = [TargetName::new("a")];
    let choice = choose(&roster, START, &prompt("p"), &tried).expect("a target");
    assert_eq!(choice.target.as_str(), "b");
    let name = TargetName::new("b");
    roster.stats_mut(&name).expect("stats").eject(START);
    for number in 0..10 {
        let prompt = prompt(&number.to_string());
        let choice = choose(&roster, START, &prompt, &[]).expect("a target");
        assert_eq!(choice.target.as_str(), "a");
    }
}

/// All targets appear down, as when this router is briefly partitioned. An attempt is better than a
/// refusal, since nothing is sent without a connection.
#[test]
fn choose_all_ejected_still_picks_one() {
    let mut roster = roster(&["a"]);
    let name = TargetName::new("a");
    roster.stats_mut(&name).expect("stats").eject(START);
    assert!(choose(&roster, START, &prompt("p"), &[]).is_some());
}

#[test]
fn ejection_ends_and_grows() {
    let mut roster = roster(&["a"]);
    let stats = roster.stats_mut(&TargetName::new("a")).expect("stats");
    stats.eject(START);
    assert!(stats.is_ejected(START.plus_ms(600)));
    assert!(!stats.is_ejected(START.plus_ms(800)));
    stats.eject(START.plus_ms(800));
    assert!(stats.is_ejected(START.plus_ms(1_900)));
    stats.record_outcome(START.plus_ms(1_900), false);
    assert!(!stats.is_ejected(START.plus_ms(1_900)));
}

/// A plain target that fails most of its calls receives few, although it answers fast.
#[test]
fn choose_plain_failing_target_is_avoided() {
    let mut roster = roster(&["a", "b"]);
    let plain = PromptShape::default();
    for step in 0..12 {
        let now = START.plus_ms(step * 50);
        for (name, is_failure) in [("a", true), ("b", false)] {
            let stats = roster.stats_mut(&TargetName::new(name)).expect("stats");
            stats.start(AttemptLoad::default());
            stats.record_first(now, AttemptLoad::default(), if is_failure { 5 } else { 30 });
            stats.record_outcome(now, is_failure);
            stats.end();
        }
    }
    let choice = choose(&roster, START.plus_ms(700), &plain, &[]).expect("a target");
    assert_eq!(choice.target.as_str(), "b");
}

fn record_of_start(started: u64, revision: u64) -> TargetRecord {
    TargetRecord {
        started: Some(started),
        revision,
        ..record("a", "north")
    }
}

/// A target crashes and restarts under its id within a heartbeat. Its cache and queue are empty:
/// with the statistics from before, work in flight and ejections, calls would avoid it or be sent
/// to it for parts that it does not have.
#[test]
fn restarted_target_has_fresh_stats() {
    let mut roster = TargetRoster::default();
    roster.put(START, record_of_start(100, 1));
    let name = TargetName::new("a");
    let stats = roster.stats_mut(&name).expect("stats");
    stats.start(AttemptLoad {
        prefill_tokens: 9_000,
    });
    stats.eject(START);
    let change = roster.put(START.plus_ms(300), record_of_start(400, 2));
    assert_eq!(
        change,
        Some(RosterChange::Restarted(name.clone(), address()))
    );
    let stats = &roster.get(&name).expect("an entry").stats;
    assert_eq!((stats.active, stats.pending_tokens), (0, 0));
    assert!(!stats.is_ejected(START.plus_ms(300)));
}

/// A draining target crashes and restarts under its id before its entry expires: it accepts new
/// requests.
#[test]
fn restarted_draining_target_is_used() {
    let mut roster = TargetRoster::default();
    let mut leaving = record_of_start(100, 1);
    leaving.phase = TargetPhase::Draining;
    roster.put(START, leaving);
    assert!(ready(&roster).is_empty());
    roster.put(START, record_of_start(400, 3));
    assert_eq!(ready(&roster), ["a"]);
}

/// The store's answers are reordered: a delayed one has an entry of the previous start. A last
/// write of the dead process is applied after those of its successor. Neither replaces the running
/// target.
#[test]
fn earlier_starts_are_ignored() {
    let mut roster = TargetRoster::default();
    roster.put(START, record_of_start(400, 7));
    let mut late = record_of_start(100, 3);
    late.phase = TargetPhase::Draining;
    assert_eq!(roster.put(START, late.clone()), None);
    late.revision = 8;
    assert_eq!(roster.put(START, late), None);
    assert_eq!(ready(&roster), ["a"]);
    assert_eq!(roster.put(START, record_of_start(400, 9)), None);
    assert_eq!(ready(&roster), ["a"]);
}

/// The clock of a target's host was set back before the target restarted. Its first entry looks
/// like one of a dead process; the second shows that it runs.
#[test]
fn earlier_start_seen_twice_is_accepted() {
    let mut roster = TargetRoster::default();
    roster.put(START, record_of_start(400, 7));
    assert_eq!(roster.put(START, record_of_start(250, 8)), None);
    let change = roster.put(START, record_of_start(250, 9));
    assert!(matches!(change, Some(RosterChange::Restarted(..))));
}

/// An entry is overwritten with unreadable content right after a store outage. It no longer names a
/// target, and no grace period applies, as it has not expired.
#[test]
fn unreadable_entry_is_withdrawn() {
    let mut roster = roster(&["a", "b"]);
    roster.record_outage(START);
    let change = roster.withdraw(START, &TargetName::new("a"));
    assert_eq!(
        change,
        Some(RosterChange::Gone(TargetName::new("a"), address()))
    );
    assert_eq!(ready(&roster), ["b"]);
}

/// Twelve engines in three domains, listed at `listed_at`.
fn three_domains(listed_at: ClockTime) -> TargetRoster {
    let mut roster = TargetRoster::default();
    for number in 0..12_u16 {
        let domain = ["north", "south", "west"][usize::from(number % 3)];
        let mut record = record(&format!("e{number}"), domain);
        record.address = SocketAddr::from(([10, 0, 0, 1], 8_000 + number));
        roster.put(listed_at, record);
    }
    roster
}

fn choose_at(
    roster: &TargetRoster,
    now: ClockTime,
    prompt: &PromptShape,
    runs_once: bool,
    policy: PolicyOptions,
) -> TargetChoice {
    let input = ChoiceInput {
        service: &ServiceName::new("engine"),
        version: None,
        is_engine: true,
        domain: &DomainName::new("north"),
        prompt,
        request_id: "id",
        tried: &[],
        runs_once,
        suspect: None,
        evacuations: &EvacuationRegistry::disabled(),
        warm_up: None,
        routers: 1,
        policy,
    };
    choose_target(roster, now, input).expect("a target")
}

fn short_prompt(number: u32) -> PromptShape {
    let part = |id: String, tokens| PromptPart { id, tokens };
    PromptShape {
        parts: vec![part(format!("s{number}"), 200), part("own".to_owned(), 630)],
    }
}

/// A domain is partitioned while 180 short streams run that cannot continue elsewhere: all that
/// cross the partition are lost to their callers. Streams that run once stay in the caller's domain
/// while it has capacity; resumable ones go to the affinity target of their parts in any domain.
#[test]
fn choose_single_runs_stay_in_domain() {
    let roster = three_domains(START);
    let off = PolicyOptions {
        keeps_single_runs_near: false,
        ..PolicyOptions::default()
    };
    let crossing = |runs_once: bool, policy: PolicyOptions| {
        let choices = (0..60)
            .map(|number| choose_at(&roster, START, &short_prompt(number), runs_once, policy));
        let domain = |choice: &TargetChoice| {
            roster
                .get(&choice.target)
                .expect("it")
                .record
                .domain
                .clone()
        };
        choices
            .filter(|choice| domain(choice).as_str() != "north")
            .count()
    };
    assert_eq!(crossing(true, PolicyOptions::default()), 0);
    assert!(crossing(true, off) > 15);
    assert!(crossing(false, PolicyOptions::default()) > 15);
}

/// All engines of the caller's domain are full: a stream that runs once goes to another domain
/// rather than wait for seconds.
#[test]
fn choose_single_run_crosses_when_domain_is_full() {
    let mut roster = three_domains(START);
    for number in [0, 3, 6, 9] {
        let name = TargetName::new(format!("e{number}"));
        let load = AttemptLoad {
            prefill_tokens: 20_000,
        };
        roster.stats_mut(&name).expect("stats").start(load);
    }
    let choice = choose_at(
        &roster,
        START,
        &short_prompt(1),
        true,
        PolicyOptions::default(),
    );
    assert_ne!(
        roster
            .get(&choice.target)
            .expect("it")
            .record
            .domain
            .as_str(),
        "north"
    );
}

/// The affinity target of a shared part is loaded, and a request for it goes elsewhere. The engine
/// there fetches the part from it; processing 13,000 tokens again would pause all streams that run
/// there.
#[test]
fn choose_other_engine_fetches_from_affinity_target() {
    let mut roster = three_domains(START);
    let prompt = prompt("part");
    let policy = PolicyOptions::default();
    let later = |roster: &TargetRoster, policy| {
        choose_at(roster, START.plus_ms(60_000), &prompt, false, policy)
    };
    let affinity = later(&roster, policy);
    assert_eq!(
        (affinity.is_affinity_target, affinity.fetch_from),
        (true, None)
    );
    let much = AttemptLoad {
        prefill_tokens: 90_000,
    };
    let address = roster.get(&affinity.target).expect("it").record.address;
    roster
        .stats_mut(&affinity.target)
        .expect("stats")
        .start(much);
    let elsewhere = later(&roster, policy);
    assert_eq!(
        (elsewhere.is_affinity_target, elsewhere.fetch_from),
        (false, Some(address))
    );
    let off = PolicyOptions {
        fetches_parts: false,
        ..policy
    };
    assert_eq!(later(&roster, off).fetch_from, None);
}

/// A new engine is the affinity target of parts that it has never processed. It fetches them from
/// the engine that was their affinity target until then. Small parts are not worth a transfer.
#[test]
fn choose_new_affinity_target_fetches_from_previous_one() {
    let mut roster = three_domains(START);
    let prompt = prompt("part");
    let policy = PolicyOptions::default();
    let before = choose_at(&roster, START, &prompt, false, policy).target;
    let later = START.plus_ms(60_000);
    let number = (100..400).find(|number| {
        let mut with = roster.clone();
        with.put(later, record(&format!("n{number}"), "north"));
        choose_at(&with, START, &prompt, false, policy)
            .target
            .as_str()
            == format!("n{number}")
    });
    let name = format!("n{}", number.expect("a name that comes first"));
    roster.put(later, record(&name, "north"));
    let choice = choose_at(&roster, later, &prompt, false, policy);
    assert!(choice.is_affinity_target && choice.target.as_str() == name);
    let address = roster.get(&before).expect("it").record.address;
    assert_eq!(choice.fetch_from, Some(address));
    let small = choose_at(&roster, later, &short_prompt(1), false, policy);
    assert_eq!(small.fetch_from, None);
}

/// A heartbeat that crossed a target's response, or the return of its entry, undid what the response
/// had announced, and the target got requests as it ended.
#[test]
fn mark_leaving_lasts_for_the_incarnation() {
    let mut roster = TargetRoster::default();
    roster.put(START, record_of_start(100, 1));
    let name = TargetName::new("a");
    let target = record_of_start(100, 1).incarnation();
    assert!(roster.mark_leaving(START, &target));
    assert!(!roster.mark_leaving(START, &target));
    assert!(ready(&roster).is_empty());
    roster.put(START, record_of_start(100, 2));
    let listed = [record_of_start(100, 3)];
    roster.take_listing(START, listed);
    assert!(ready(&roster).is_empty());
    let entry = roster.get(&name).expect("an entry");
    assert_eq!(entry.phase_name(), "leaving");
    roster.remove(START, &name);
    roster.put(START.plus_ms(600_000), record_of_start(100, 4));
    assert!(ready(&roster).is_empty());
    roster.take_listing(START, []);
    roster.take_listing(START, [record_of_start(100, 5)]);
    assert!(ready(&roster).is_empty());
}

/// A target that restarted under its name, or one that was started at its address, was left alone for
/// what the process before it had announced.
#[test]
fn mark_leaving_ends_with_the_incarnation() {
    let mut roster = TargetRoster::default();
    roster.put(START, record_of_start(100, 1));
    let before = record_of_start(100, 1).incarnation();
    roster.mark_leaving(START, &before);
    let other = TargetRecord {
        revision: 2,
        ..record("b", "north")
    };
    roster.take_entry(START, other);
    assert_eq!(ready(&roster), ["b"]);
    roster.put(START, record_of_start(400, 3));
    assert_eq!(ready(&roster), ["a", "b"]);
    // A response of the process before may come late.
    assert!(!roster.mark_leaving(START, &before));
    assert_eq!(ready(&roster), ["a", "b"]);
    roster.remove(START, &TargetName::new("a"));
    roster.put(START, record_of_start(400, 4));
    assert_eq!(ready(&roster), ["a", "b"]);
}

/// A response that came after the entry had expired was forgotten when the entry returned.
#[test]
fn mark_leaving_without_entry_is_kept() {
    let mut roster = TargetRoster::default();
    let target = record_of_start(100, 1).incarnation();
    assert!(roster.mark_leaving(START, &target));
    assert!(!roster.mark_leaving(START, &target));
    roster.put(START, record_of_start(100, 1));
    assert!(ready(&roster).is_empty());
}

/// The entry of a target that leaves is not retained after an outage: its absence is expected.
#[test]
fn remove_of_leaving_target_in_an_outage_is_at_once() {
    let mut roster = roster(&["a"]);
    roster.mark_leaving(START, &record("a", "north").incarnation());
    roster.record_outage(START);
    let name = TargetName::new("a");
    let change = roster.remove(START, &name);
    assert_eq!(change, Some(RosterChange::Gone(name, address())));
}

/// Notices of targets that are gone took ever more memory, and dropping old ones must not affect those
/// that are listed.
#[test]
fn mark_leaving_of_many_targets_keeps_the_latest() {
    let mut roster = roster(&["listed"]);
    roster.mark_leaving(START, &record("listed", "north").incarnation());
    for number in 0..3_000 {
        let target = record(&format!("n{number}"), "north").incarnation();
        roster.mark_leaving(START.plus_ms(number), &target);
    }
    roster.put(START, record("n0", "north"));
    roster.put(START, record("n2999", "north"));
    assert_eq!(ready(&roster), ["n0"]);
}

fn newer_entry(name: &str, revision: u64) -> TargetRecord {
    TargetRecord {
        revision,
        service: ServiceName::new("plain-old"),
        ..record(name, "north")
    }
}

/// Another writer's entry at the address of a target whose own entry never changed again took the target
/// out of use for good, in whichever order and however often the entries were read.
#[test]
fn take_entry_at_the_address_of_a_target_keeps_it_in_use() {
    for name in ["0", "x"] {
        let mut roster = roster(&["a"]);
        roster.take_entry(START, newer_entry(name, 5));
        assert_eq!(ready(&roster), ["a"]);
        let records = || [record("a", "north"), newer_entry(name, 5)];
        roster.take_listing(START, records());
        assert_eq!(ready(&roster), ["a"]);
        let mut restarted = TargetRoster::default();
        restarted.take_listing(START, records());
        assert_eq!(ready(&restarted), ["a"]);
    }
}

/// A target stayed at a part of its requests for as long as another writer kept changing its entry.
#[test]
fn take_entry_of_a_contested_address_narrows_once() {
    let mut roster = roster(&["a"]);
    let name = TargetName::new("a");
    let is_narrow = |roster: &TargetRoster, now| {
        let entry = roster.get(&name).expect("an entry");
        entry.stats.pace.is_narrow(now)
    };
    assert!(!is_narrow(&roster, START));
    for second in 0..10 {
        let now = START.plus_ms(second * 1_000);
        roster.take_entry(now, newer_entry("x", 5 + second));
        assert_eq!(is_narrow(&roster, now), second < 3, "{second} s");
    }
}

/// A target whose address another process has was asked again, or stayed out of use although its entry
/// was newer.
#[test]
fn mark_replaced_lasts_until_a_newer_entry() {
    let mut roster = roster(&["a"]);
    let entry = roster.get_mut(&TargetName::new("a")).expect("an entry");
    assert!(entry.mark_replaced());
    assert!(!entry.mark_replaced());
    roster.take_entry(START, record("a", "north"));
    assert!(ready(&roster).is_empty());
    let newer = TargetRecord {
        revision: 2,
        ..record("a", "north")
    };
    roster.take_entry(START, newer);
    assert_eq!(ready(&roster), ["a"]);
}
