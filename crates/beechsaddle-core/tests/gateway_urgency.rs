//! Tests of scarce tokens by the urgency of calls, for fleets of 8 and 450 routers.

use beechsaddle_core::gateway::{
    CallUrgency, CallerLimits, EscrowOptions, EscrowRole, GatewayConfig, LoanReply, LoanRequest,
    ReserveOutcome, TokenEscrow, TokenSupply, UrgencyNeed, UrgencyReserve, WorkspaceLedger,
    WorkspaceRule,
};
use beechsaddle_core::prelude::*;
use quickcheck::{QuickCheck, TestResult};

const START: ClockTime = ClockTime::from_millis(1_000_000);
const QUESTION: CallUrgency = CallUrgency(0);
const DRAFT: CallUrgency = CallUrgency(2);
const QUESTION_TOKENS: u64 = 1_500;
const DRAFT_TOKENS: u64 = 9_500;

/// Twice what the largest drawn demand asks for, so that supplies above and below it are drawn.
const FREE_MAX: u64 = 2 * 255 * (QUESTION_TOKENS + DRAFT_TOKENS);

fn options() -> EscrowOptions {
    EscrowOptions {
        reserve_s: 30.0,
        ..EscrowOptions::default()
    }
}

/// Records ten seconds of demand: each second, `questions` and `drafts` calls.
fn demand(reserve: &mut UrgencyReserve, questions: u64, drafts: u64) -> ClockTime {
    let calls = [
        (QUESTION, questions * QUESTION_TOKENS),
        (DRAFT, drafts * DRAFT_TOKENS),
    ];
    for second in 0..10 {
        let now = START.plus_ms(second * 1_000);
        for (urgency, tokens) in calls.iter().filter(|(_, tokens)| *tokens > 0) {
            reserve.record_asked(now, *urgency, *tokens as i64, &options());
        }
    }
    START.plus_ms(9_000)
}

fn total(left: u64) -> TokenSupply {
    TokenSupply {
        free: left,
        held: 0,
        left: Some(left),
        outage_ms: None,
        domains: 1,
    }
}

/// Guards against a flood of drafts that takes what questions need until a top-up: as a total ends,
/// fewer and fewer drafts are admitted, without a jump, and all questions.
#[test]
fn level_flood_of_drafts_before_total_ends() {
    let mut reserve = UrgencyReserve::new(0.5);
    let now = demand(&mut reserve, 20, 10);
    let levels: Vec<f64> = (0..400)
        .map(|step| reserve.level(now, DRAFT, &total(step * 20_000), &options()))
        .collect();
    assert!(
        (levels[0] - options().floor_part).abs() < 0.01,
        "{}",
        levels[0]
    );
    assert_eq!(levels[399], 1.0);
    let steps = levels.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(steps.clone().all(|step| (0.0..0.02).contains(&step)));
    for left in [0, 1_000, 100_000] {
        assert_eq!(reserve.level(now, QUESTION, &total(left), &options()), 1.0);
    }
}

/// Guards against refusals where nothing more urgent competes.
#[test]
fn level_drafts_alone_before_total_ends() {
    let mut reserve = UrgencyReserve::new(0.5);
    let now = demand(&mut reserve, 0, 10);
    assert_eq!(reserve.level(now, DRAFT, &total(1_000), &options()), 1.0);
    assert_eq!(
        reserve.spare(now, DRAFT, &total(1_000), &options()),
        1_000,
        "all that is free"
    );
}

/// Guards against a floor that is lost between many routers with few calls each, and against one
/// that is many times too high as each of them admits its first call.
#[test]
fn admits_floor_of_flood_at_few_and_many_routers() {
    for (routers, calls) in [(8, 400), (450, 4)] {
        let mut admitted = 0;
        for router in 0..routers {
            let credit = f64::from(router) / f64::from(routers);
            let mut reserve = UrgencyReserve::new(credit);
            let calls = (0..calls).filter(|_| reserve.admits(START, DRAFT, 0.25));
            admitted += calls.count();
        }
        let part = admitted as f64 / f64::from(routers * calls);
        assert!((0.24..0.26).contains(&part), "{routers} routers: {part}");
    }
}

/// Urgent calls have a level and spare tokens of at least those of less urgent ones, whatever is
/// left, free and deferred.
#[test]
fn level_any_supply_keeps_order() {
    fn holds(questions: u8, drafts: u8, free: u32, deferred: u32, left: u32, age: u16) -> bool {
        let mut reserve = UrgencyReserve::new(0.5);
        let now = demand(&mut reserve, questions.into(), drafts.into());
        let supply = TokenSupply {
            free: free.into(),
            held: u64::from(free) + u64::from(deferred),
            left: (!left.is_multiple_of(3)).then(|| left.into()),
            outage_ms: (!age.is_multiple_of(2)).then(|| age.into()),
            domains: 1 + u64::from(age % 4),
        };
        let levels =
            [QUESTION, DRAFT].map(|urgency| reserve.level(now, urgency, &supply, &options()));
        let spares =
            [QUESTION, DRAFT].map(|urgency| reserve.spare(now, urgency, &supply, &options()));
        levels[0] == 1.0
            && levels[1] >= options().floor_part * 0.9
            && spares[0] >= spares[1]
            && spares[0] <= supply.free
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(u8, u8, u32, u32, u32, u16) -> bool);
}

/// No loan by urgency is larger than what is free or asked for, and none leaves an urgent need
/// uncovered that the tokens cover, beyond the floor of less urgent ones.
#[test]
fn grant_needs_any_demand_stays_within_free() {
    fn holds(free: u32, questions: u8, drafts: u8, age: u16) -> TestResult {
        let mut reserve = UrgencyReserve::new(0.5);
        let now = demand(&mut reserve, 20, 10);
        let needs = needs(questions.into(), drafts.into());
        let free = u64::from(free) % FREE_MAX;
        let supply = TokenSupply {
            free,
            held: free,
            left: Some(0),
            outage_ms: Some(age.into()),
            domains: 4,
        };
        let asked: u64 = needs.iter().map(|need| need.need).sum();
        let granted = reserve.grant_needs(now, &needs, &supply, &options());
        let urgent = u64::from(questions) * QUESTION_TOKENS;
        let least = urgent.min(free);
        let is_whole = least >= QUESTION_TOKENS || questions == 0;
        let is_bounded = granted <= asked.min(free);
        TestResult::from_bool(is_bounded && (!is_whole || granted >= least))
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(u32, u8, u8, u16) -> TestResult);
}

fn needs(questions: u64, drafts: u64) -> Vec<UrgencyNeed> {
    let need = |urgency, tokens: u64, calls: u64| UrgencyNeed {
        urgency,
        least: tokens.min(tokens * calls),
        need: tokens * calls,
        used: (tokens * calls) as i64,
    };
    vec![
        need(QUESTION, QUESTION_TOKENS, questions),
        need(DRAFT, DRAFT_TOKENS, drafts),
    ]
}

fn acme() -> WorkspaceName {
    WorkspaceName::new("acme")
}

fn allocator(options: EscrowOptions, prepaid: u64) -> TokenEscrow {
    let mut config = GatewayConfig::new(1, CallerLimits::default());
    let rule = WorkspaceRule {
        name: acme(),
        priority: None,
        prepaid: Some(prepaid),
    };
    config.add_workspace(rule, ["key".to_owned()]);
    let mut escrow = TokenEscrow::new(options, "host@1");
    escrow.set_config(START, &config);
    escrow.set_fleet(1, 8);
    escrow.set_role(&acme(), EscrowRole::Allocator);
    escrow.take_ledger(START, &acme(), WorkspaceLedger::default(), true);
    escrow
}

/// Lends to `routers` borrowers in turn, each second `calls` of both kinds, while the ledger is
/// unreachable. Returns the questions that got tokens.
fn lend_in_cut(escrow: &mut TokenEscrow, routers: u64, drafts_first: u64) -> u64 {
    let mut lent = 0;
    for step in 0..routers {
        let now = START.plus_ms(10_000 + step * 6_000 / routers);
        let flood = needs(0, drafts_first.div_ceil(routers));
        ask(escrow, now, &flood);
        let questions = needs(1, 0);
        lent += u64::from(ask(escrow, now, &questions) >= QUESTION_TOKENS);
    }
    lent
}

fn ask(escrow: &mut TokenEscrow, now: ClockTime, needs: &[UrgencyNeed]) -> u64 {
    let waiting = needs.iter().filter(|need| need.need > 0);
    let request = LoanRequest {
        least: waiting.clone().map(|need| need.least).min().unwrap_or(0),
        need: waiting.map(|need| need.need).sum(),
        ahead: 0,
        used: 0,
    };
    escrow.record_request(now, &acme(), request);
    escrow.record_needs(now, &acme(), needs);
    match escrow.lend_urgent(now, &acme(), request, needs, Some(500)) {
        LoanReply::Lent(tokens) => tokens,
        LoanReply::Short | LoanReply::Exhausted | LoanReply::LedgerUnreachable => 0,
    }
}

/// Guards against a flood of drafts at the start of a cut that leaves the questions of all routers
/// of a domain without tokens.
#[test]
fn lend_cut_with_flood_of_drafts_serves_questions() {
    for routers in [8, 450] {
        let held = routers * QUESTION_TOKENS * 8;
        let lent = [0.0, 30.0].map(|reserve_s| {
            let options = EscrowOptions {
                reserve_s,
                hold_s: 10.5,
                ..EscrowOptions::default()
            };
            let mut escrow = allocator(options, held * 20);
            escrow.take_back(
                START,
                &acme(),
                beechsaddle_core::gateway::LoanReturn {
                    tokens: held,
                    used: 0,
                },
            );
            for second in 0..10 {
                let now = START.plus_ms(second * 1_000);
                escrow.record_needs(now, &acme(), &needs(routers / 6 + 1, routers / 24 + 1));
            }
            lend_in_cut(&mut escrow, routers, held * 3 / DRAFT_TOKENS)
        });
        assert!(lent[0] * 10 < routers * 7, "{routers}: {lent:?} without it");
        assert!(lent[1] * 10 >= routers * 9, "{routers}: {lent:?}");
    }
}

/// Guards against a borrower that gives tokens, which were lent for a waiting question, to a draft.
#[test]
fn reserve_borrowed_tokens_go_to_waiting_question() {
    let mut escrow = allocator(options(), 1_000_000);
    escrow.set_role(&acme(), EscrowRole::Borrower);
    escrow.begin_wait(START, &acme(), QUESTION_TOKENS);
    escrow.begin_urgent_wait(START, &acme(), QUESTION, QUESTION_TOKENS);
    let request = escrow.loan_wanted(START, &acme()).expect("a wish");
    escrow.receive(&acme(), request, DRAFT_TOKENS);
    let draft = escrow.try_reserve_urgent(START, &acme(), DRAFT, DRAFT_TOKENS, None);
    assert_eq!(draft, ReserveOutcome::Short);
    let question = escrow.try_reserve_urgent(START, &acme(), QUESTION, QUESTION_TOKENS, None);
    assert_eq!(question, ReserveOutcome::Reserved);
}
