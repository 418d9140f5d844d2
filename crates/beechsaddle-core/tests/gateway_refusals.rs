//! Tests of what is remembered of refused calls, and of the time of their callers' return.

use beechsaddle_core::gateway::{
    CallUrgency, RefusalMemory, RefusedCaller, ReturnCause, ReturnSchedule, TokenNeed,
    TokenShortage,
};
use beechsaddle_core::prelude::*;
use quickcheck::quickcheck;

const START: ClockTime = ClockTime::from_millis(1_000);
const QUESTION: u64 = 1_520;
const DRAFT: u64 = 9_500;
const SCHEDULE: ReturnSchedule = ReturnSchedule { outage_ms: 10_500 };

fn acme() -> WorkspaceName {
    WorkspaceName::new("acme")
}

fn need(tokens: u64, urgency: u8) -> TokenNeed {
    TokenNeed {
        tokens,
        urgency: CallUrgency(urgency),
    }
}

fn caller(urgency: u8, left_ms: Option<u64>, spread: u64) -> RefusedCaller {
    RefusedCaller {
        urgency: CallUrgency(urgency),
        left_ms,
        spread,
    }
}

/// Load: a cut of the store with a queue of drafts. Guards against questions, a sixth of their size, that
/// are refused unasked because a draft was.
#[test]
fn refusal_of_draft_in_cut_leaves_question_to_ask() {
    let mut memory = RefusalMemory::default();
    let refused = TokenNeed::of_any_urgency(DRAFT);
    memory.record_refused(START, &acme(), refused, TokenShortage::LedgerAway);
    let now = START.plus_ms(100);
    assert!(memory.find(now, &acme(), need(DRAFT, 0)).is_some());
    assert!(memory.find(now, &acme(), need(DRAFT + 1, 3)).is_some());
    assert_eq!(memory.find(now, &acme(), need(QUESTION, 0)), None);
    let other = WorkspaceName::new("other");
    assert_eq!(memory.find(now, &other, need(DRAFT, 0)), None);
}

/// Load: a burst of less urgent calls whose waits were in vain. Guards against an urgent call of the same
/// size that is refused for them.
#[test]
fn refusal_of_less_urgent_burst_leaves_urgent_call_to_ask() {
    let mut memory = RefusalMemory::default();
    let silent = TokenShortage::LedgerSilent;
    memory.record_refused(START, &acme(), need(QUESTION, 2), silent);
    assert!(memory.find(START, &acme(), need(QUESTION, 2)).is_some());
    assert!(memory.find(START, &acme(), need(QUESTION, 3)).is_some());
    assert_eq!(memory.find(START, &acme(), need(QUESTION, 1)), None);
}

/// Load: a cut with a queue of borrowers, which ends. Guards against refusals that outlast the cut at a
/// router that hears of the store from another one, and against those that a late answer ends wrongly.
#[test]
fn store_answer_ends_older_refusals_only() {
    let mut memory = RefusalMemory::default();
    let refused = TokenNeed::of_any_urgency(QUESTION);
    memory.record_refused(START, &acme(), refused, TokenShortage::LedgerAway);
    memory.forget_before(START);
    assert!(memory.find(START, &acme(), need(QUESTION, 0)).is_some());
    memory.forget_before(START.plus_ms(1));
    assert_eq!(memory.find(START, &acme(), need(QUESTION, 0)), None);
}

/// Load: a total that ends under a burst. Guards against lenders that are asked for each call of it, and
/// against a refusal that its own echoes prolong for ever.
#[test]
fn refusal_in_burst_lets_some_calls_ask() {
    let mut memory = RefusalMemory::default();
    let mut asked = 0;
    for at_ms in (0..10_000).step_by(5) {
        let now = START.plus_ms(at_ms);
        if memory.find(now, &acme(), need(QUESTION, 0)).is_none() {
            asked += 1;
            let refused = TokenNeed::of_any_urgency(QUESTION);
            memory.record_refused(now, &acme(), refused, TokenShortage::LedgerAway);
        }
        // Calls that waited since before the refusal fail after it.
        memory.record_refused(now, &acme(), need(DRAFT, 0), TokenShortage::LedgerSilent);
    }
    assert!((4..=12).contains(&asked), "{asked}");
}

/// Load: calls of any size and urgency while tokens come and go. Guards against a refusal from memory of a
/// call that is smaller or more urgent than every one refused since tokens last came.
#[test]
fn refusal_from_memory_has_refused_call_behind_it() {
    fn holds(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut memory = RefusalMemory::default();
        let mut refused: Vec<TokenNeed> = Vec::new();
        let mut now = START;
        for (kind, size, urgency) in steps {
            now = now.plus_ms(u64::from(size) * 4);
            let need = need(u64::from(size), urgency % 4);
            match kind % 4 {
                0 => {
                    memory.forget(&acme());
                    refused.clear();
                }
                1 => {
                    memory.record_refused(now, &acme(), need, TokenShortage::LedgerAway);
                    refused.push(need);
                }
                _ => {
                    let is_implied = refused.iter().any(|earlier| {
                        earlier.tokens <= need.tokens && earlier.urgency <= need.urgency
                    });
                    if memory.find(now, &acme(), need).is_some() && !is_implied {
                        return false;
                    }
                }
            }
        }
        true
    }
    quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Load: a cut of all routers whose callers have one retry. Guards against returns while the store is
/// still likely to be away, and after the callers' deadlines.
#[test]
fn return_in_cut_is_after_it_or_before_deadline() {
    let cause = ReturnCause::StoreAway { age_ms: 2_500 };
    for spread in 0..5_000 {
        let patient = SCHEDULE.return_ms(cause, caller(0, Some(60_000), spread));
        assert!((8_000..=12_000).contains(&patient), "{patient}");
        let hasty = SCHEDULE.return_ms(cause, caller(1, Some(6_000), spread));
        assert!((1_350..=1_800).contains(&hasty), "{hasty}");
    }
}

/// Load: a crowd refused in the same second. Guards against a return in the same instant, and against less
/// urgent callers who come back first.
#[test]
fn return_of_crowd_is_spread_urgent_first() {
    let cause = ReturnCause::StoreAway { age_ms: 500 };
    let returns = |urgency| {
        let times = (0..1_000_u64)
            .map(|id| beechsaddle_core::hash::stable_hash(id.to_string()))
            .map(|spread| SCHEDULE.return_ms(cause, caller(urgency, None, spread)));
        times.collect::<Vec<_>>()
    };
    let (urgent, other) = (returns(0), returns(1));
    assert!(urgent.iter().max() <= other.iter().min());
    let first = urgent.iter().min().copied().unwrap_or_default();
    let near = urgent.iter().filter(|at| **at < first + 100).count();
    assert!(near < 120, "{near} of 1,000 callers return within 100 ms");
}

/// Load: any. Guards against a time behind the caller's deadline, one of zero, and one that differs between
/// routers or tries.
#[test]
fn return_is_within_bounds() {
    fn holds(kind: u8, known_ms: u16, urgency: u8, left_ms: u16, spread: u64) -> bool {
        let known_ms = u64::from(known_ms);
        let cause = match kind % 4 {
            0 => ReturnCause::StoreAway { age_ms: known_ms },
            1 => ReturnCause::Opening {
                opens_in_ms: known_ms,
            },
            2 => ReturnCause::Short,
            _ => ReturnCause::LinkFull,
        };
        let left_ms = u64::from(left_ms);
        let caller = caller(urgency, Some(left_ms), spread);
        let return_ms = SCHEDULE.return_ms(cause, caller);
        let is_short = cause != ReturnCause::LinkFull || return_ms <= 150;
        return_ms >= 1
            && return_ms <= (left_ms * 3 / 10).max(1)
            && is_short
            && return_ms == SCHEDULE.return_ms(cause, caller)
    }
    quickcheck(holds as fn(u8, u16, u8, u16, u64) -> bool);
}
