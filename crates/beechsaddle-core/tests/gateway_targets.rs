//! Tests of the roster of targets and the choice between them.

use std::net::SocketAddr;

use beechsaddle_core::gateway::{
    AttemptLoad, ChoiceInput, PolicyOptions, PromptPart, PromptShape, RosterChange, TargetChoice,
    TargetPhase, TargetRecord, TargetRoster, choose_target,
};
use beechsaddle_core::prelude::*;

const START: ClockTime = ClockTime::from_millis(1_000_000);

fn record(name: &str, domain: &str) -> TargetRecord {
    TargetRecord {
        name: TargetName::new(name),
        started: None,
        revision: 1,
        service: ServiceName::new("engine"),
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
        is_engine: !prompt.parts.is_empty(),
        domain: &DomainName::new("north"),
        prompt,
        request_id: "id",
        tried,
        runs_once: false,
        suspect: None,
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
fn removed_is_gone_at_once_while_the_store_is_well() {
    let mut roster = roster(&["a", "b"]);
    let change = roster.remove(START, &TargetName::new("a"));
    assert_eq!(
        change,
        Some(RosterChange::Gone(TargetName::new("a"), address()))
    );
    assert_eq!(ready(&roster), ["b"]);
}

/// The store is away and entries expire meanwhile. The first listing after its return lacks them:
/// the targets stay in use until they have had time to write again, and are gone after that.
#[test]
fn lapsed_during_an_outage_stays_for_a_grace() {
    let mut roster = roster(&["a", "b"]);
    roster.note_away(START);
    let back = START.plus_ms(100);
    let changes = roster.take_listing(back, [record("b", "north")]);
    assert_eq!(changes, [RosterChange::Unconfirmed(TargetName::new("a"))]);
    assert_eq!(ready(&roster), ["a", "b"]);
    assert!(roster.expire(back.plus_ms(1_500)).is_empty());
    let gone = roster.expire(back.plus_ms(2_500));
    assert_eq!(gone, [RosterChange::Gone(TargetName::new("a"), address())]);
    assert_eq!(ready(&roster), ["b"]);
}

#[test]
fn lapsed_and_written_again_stays() {
    let mut roster = roster(&["a"]);
    roster.note_away(START);
    roster.remove(START.plus_ms(50), &TargetName::new("a"));
    assert_eq!(roster.put(START.plus_ms(900), record("a", "north")), None);
    assert!(roster.expire(START.plus_ms(9_000)).is_empty());
    assert_eq!(ready(&roster), ["a"]);
}

/// An entry that said it is leaving and then is missing after an outage has left.
#[test]
fn draining_and_missing_after_an_outage_is_gone() {
    let mut roster = roster(&["a"]);
    let mut leaving = record("a", "north");
    leaving.phase = TargetPhase::Draining;
    roster.put(START, leaving);
    roster.note_away(START);
    let change = roster.remove(START.plus_ms(50), &TargetName::new("a"));
    assert_eq!(
        change,
        Some(RosterChange::Gone(TargetName::new("a"), address()))
    );
}

/// All requests of one shared part meet at one engine, whichever router chooses; different parts
/// spread over all engines.
#[test]
fn choose_shared_part_has_one_place() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let roster = roster(&names);
    let mut used = std::collections::BTreeMap::<String, u32>::new();
    for number in 0..120 {
        let prompt = prompt(&format!("part-{number}"));
        let choice = choose(&roster, START, &prompt, &[]).expect("a target");
        assert!(choice.is_home);
        assert_eq!(choice.load.prefill_tokens, 3_000);
        *used.entry(choice.target.to_string()).or_default() += 1;
    }
    assert_eq!(used.len(), names.len());
    assert!(used.values().all(|count| *count <= 40), "{used:?}");
}

/// The place of a part is loaded with work that takes far longer than reading the part again: the
/// request goes elsewhere. With a little work it stays.
#[test]
fn choose_loaded_place_is_left() {
    let mut roster = roster(&["a", "b", "c"]);
    let prompt = prompt("part");
    let home = choose(&roster, START, &prompt, &[])
        .expect("a target")
        .target;
    let some = AttemptLoad {
        prefill_tokens: 5_000,
    };
    roster.gauge_mut(&home).expect("a gauge").start(some);
    let choice = choose(&roster, START, &prompt, &[]).expect("a target");
    assert_eq!(choice.target, home);
    let much = AttemptLoad {
        prefill_tokens: 60_000,
    };
    roster.gauge_mut(&home).expect("a gauge").start(much);
    let choice = choose(&roster, START, &prompt, &[]).expect("a target");
    assert_ne!(choice.target, home);
    assert_eq!(choice.load.prefill_tokens, 16_000);
}

#[test]
fn choose_tried_and_ejected_are_left_out() {
    let mut roster = roster(&["a", "b"]);
    let tried = [TargetName::new("a")];
    let choice = choose(&roster, START, &prompt("p"), &tried).expect("a target");
    assert_eq!(choice.target.as_str(), "b");
    let name = TargetName::new("b");
    roster.gauge_mut(&name).expect("a gauge").eject(START);
    for number in 0..10 {
        let prompt = prompt(&number.to_string());
        let choice = choose(&roster, START, &prompt, &[]).expect("a target");
        assert_eq!(choice.target.as_str(), "a");
    }
}

/// All targets look dead, as when this router is cut off for a moment. A try is better than a
/// refusal, since nothing is sent where no connection is made.
#[test]
fn choose_all_ejected_still_gives_one() {
    let mut roster = roster(&["a"]);
    let name = TargetName::new("a");
    roster.gauge_mut(&name).expect("a gauge").eject(START);
    assert!(choose(&roster, START, &prompt("p"), &[]).is_some());
}

#[test]
fn ejection_ends_and_grows() {
    let mut roster = roster(&["a"]);
    let gauge = roster.gauge_mut(&TargetName::new("a")).expect("a gauge");
    gauge.eject(START);
    assert!(gauge.is_ejected(START.plus_ms(600)));
    assert!(!gauge.is_ejected(START.plus_ms(800)));
    gauge.eject(START.plus_ms(800));
    assert!(gauge.is_ejected(START.plus_ms(1_900)));
    gauge.note_outcome(START.plus_ms(1_900), false);
    assert!(!gauge.is_ejected(START.plus_ms(1_900)));
}

/// A plain target that fails most of its calls gets few, though it answers fast.
#[test]
fn choose_plain_failing_target_is_avoided() {
    let mut roster = roster(&["a", "b"]);
    let plain = PromptShape::default();
    for step in 0..12 {
        let now = START.plus_ms(step * 50);
        for (name, is_failure) in [("a", true), ("b", false)] {
            let gauge = roster.gauge_mut(&TargetName::new(name)).expect("a gauge");
            gauge.start(AttemptLoad::default());
            gauge.note_first(now, AttemptLoad::default(), if is_failure { 5 } else { 30 });
            gauge.note_outcome(now, is_failure);
            gauge.end();
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

/// A target crashes and is back under its id within a heartbeat. Its memory is empty and its queue too:
/// what was seen of it before, work in flight and ejections, would keep calls away from it or send
/// them for parts that it has not.
#[test]
fn restarted_target_begins_anew() {
    let mut roster = TargetRoster::default();
    roster.put(START, record_of_start(100, 1));
    let name = TargetName::new("a");
    let gauge = roster.gauge_mut(&name).expect("a gauge");
    gauge.start(AttemptLoad {
        prefill_tokens: 9_000,
    });
    gauge.eject(START);
    let change = roster.put(START.plus_ms(300), record_of_start(400, 2));
    assert_eq!(
        change,
        Some(RosterChange::Restarted(name.clone(), address()))
    );
    let gauge = &roster.get(&name).expect("an entry").gauge;
    assert_eq!((gauge.active, gauge.pending_tokens), (0, 0));
    assert!(!gauge.is_ejected(START.plus_ms(300)));
}

/// A target that was leaving crashes and starts again under its id, before its entry is gone: it takes
/// new work.
#[test]
fn leaving_target_that_restarted_is_used() {
    let mut roster = TargetRoster::default();
    let mut leaving = record_of_start(100, 1);
    leaving.phase = TargetPhase::Draining;
    roster.put(START, leaving);
    assert!(ready(&roster).is_empty());
    roster.put(START, record_of_start(400, 3));
    assert_eq!(ready(&roster), ["a"]);
}

/// Answers of the store come out of order: one that was under way for long brings an entry of the start
/// before. And one write of the process that died lands after those of its successor. Neither takes the
/// running target's place.
#[test]
fn earlier_starts_change_nothing() {
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

/// The clock of a target's host was set back before the target started again. Its first entry looks
/// like one of a dead process; the second shows that it lives.
#[test]
fn earlier_start_told_twice_is_believed() {
    let mut roster = TargetRoster::default();
    roster.put(START, record_of_start(400, 7));
    assert_eq!(roster.put(START, record_of_start(250, 8)), None);
    let change = roster.put(START, record_of_start(250, 9));
    assert!(matches!(change, Some(RosterChange::Restarted(..))));
}

/// Somebody else overwrites an entry with what cannot be read, right after an outage of the store. The
/// entry names no target from then on, and there is no grace for it: it has not lapsed.
#[test]
fn unreadable_entry_is_withdrawn() {
    let mut roster = roster(&["a", "b"]);
    roster.note_away(START);
    let change = roster.withdraw(&TargetName::new("a"));
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
        is_engine: true,
        domain: &DomainName::new("north"),
        prompt,
        request_id: "id",
        tried: &[],
        runs_once,
        suspect: None,
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

/// A domain is cut off while 180 short streams run that cannot go on elsewhere: all that cross the cut
/// are lost to their callers. Streams that run once stay in the caller's domain while it has room; those
/// that may be resumed go to the place of their parts, wherever it is.
#[test]
fn choose_single_runs_stay_near() {
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

/// All engines of the caller's domain are full: a stream that runs once crosses over rather than wait
/// for seconds.
#[test]
fn choose_single_run_crosses_when_near_is_full() {
    let mut roster = three_domains(START);
    for number in [0, 3, 6, 9] {
        let name = TargetName::new(format!("e{number}"));
        let load = AttemptLoad {
            prefill_tokens: 20_000,
        };
        roster.gauge_mut(&name).expect("a gauge").start(load);
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

/// The place of a shared part is loaded, and a request for it goes elsewhere. The engine there gets the
/// part from its place; reading 13,000 tokens again would pause all streams that run there.
#[test]
fn choose_elsewhere_fetches_from_the_place() {
    let mut roster = three_domains(START);
    let prompt = prompt("part");
    let policy = PolicyOptions::default();
    let later = |roster: &TargetRoster, policy| {
        choose_at(roster, START.plus_ms(60_000), &prompt, false, policy)
    };
    let place = later(&roster, policy);
    assert_eq!((place.is_home, place.fetch_from), (true, None));
    let much = AttemptLoad {
        prefill_tokens: 90_000,
    };
    let address = roster.get(&place.target).expect("it").record.address;
    roster
        .gauge_mut(&place.target)
        .expect("a gauge")
        .start(much);
    let elsewhere = later(&roster, policy);
    assert_eq!(
        (elsewhere.is_home, elsewhere.fetch_from),
        (false, Some(address))
    );
    let off = PolicyOptions {
        fetches_parts: false,
        ..policy
    };
    assert_eq!(later(&roster, off).fetch_from, None);
}

/// An engine comes up and is the place of parts that it has never read. It gets them from the engine that
/// was their place until then. Small parts are not worth a transfer.
#[test]
fn choose_new_place_fetches_from_the_one_before() {
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
    assert!(choice.is_home && choice.target.as_str() == name);
    let address = roster.get(&before).expect("it").record.address;
    assert_eq!(choice.fetch_from, Some(address));
    let small = choose_at(&roster, later, &short_prompt(1), false, policy);
    assert_eq!(small.fetch_from, None);
}
