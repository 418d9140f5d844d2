//! Tests of prepaid totals: single steps, and random sessions of a whole fleet.

use std::collections::BTreeMap;

use beechsaddle_core::gateway::{
    BudgetLedger, CallerLimits, EscrowOptions, EscrowRole, GatewayConfig, LedgerChange, LoanReply,
    LoanRequest, LoanReturn, ReserveOutcome, TokenEscrow, TokenTransfer, WorkspaceRule,
};
use beechsaddle_core::prelude::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const START: ClockTime = ClockTime::from_millis(1_000_000);

fn config(version: u64, prepaid: u64) -> GatewayConfig {
    let mut config = GatewayConfig::new(version, CallerLimits::default());
    let rule = WorkspaceRule {
        name: acme(),
        priority: None,
        prepaid: Some(prepaid),
    };
    config.add_workspace(rule, ["key".to_owned()]);
    config
}

fn acme() -> WorkspaceName {
    WorkspaceName::new("acme")
}

fn taken(tokens: u64) -> BudgetLedger {
    BudgetLedger {
        taken: tokens,
        ..BudgetLedger::default()
    }
}

fn keeper(prepaid: u64) -> TokenEscrow {
    let mut escrow = TokenEscrow::new(EscrowOptions::default(), "host@1");
    escrow.set_config(START, &config(1, prepaid));
    escrow.set_fleet(3, 3);
    escrow.set_role(&acme(), EscrowRole::Keeper);
    escrow.take_ledger(START, &acme(), BudgetLedger::default(), true);
    escrow
}

/// A request for tokens that calls wait for.
fn loan(tokens: u64) -> LoanRequest {
    LoanRequest {
        least: tokens,
        need: tokens,
        ahead: 0,
        used: 0,
    }
}

/// A call that uses all that is reserved for it.
fn use_tokens(escrow: &mut TokenEscrow, tokens: u64) {
    let outcome = escrow.try_reserve(START, &acme(), tokens);
    assert_eq!(outcome, ReserveOutcome::Reserved);
    escrow.settle(START, &acme(), tokens, tokens);
}

/// Writes what is due and gives the change.
fn write_due(escrow: &mut TokenEscrow, now: ClockTime) -> Option<LedgerChange> {
    let change = escrow.plan(now, &acme())?;
    let ledger = escrow.ledger(&acme()).expect("a ledger");
    let ledger = ledger.with_change("host@1", change);
    escrow.commit(now, &acme(), ledger);
    Some(change)
}

#[test]
fn reserve_without_total_is_free() {
    let mut escrow = TokenEscrow::new(EscrowOptions::default(), "host@1");
    let outcome = escrow.try_reserve(START, &acme(), 1_000_000);
    assert_eq!(outcome, ReserveOutcome::Reserved);
}

#[test]
fn reserve_before_the_ledger_is_known_waits() {
    let mut escrow = TokenEscrow::new(EscrowOptions::default(), "host@1");
    escrow.set_config(START, &config(1, 1_000));
    escrow.set_role(&acme(), EscrowRole::Keeper);
    assert_eq!(
        escrow.try_reserve(START, &acme(), 10),
        ReserveOutcome::Short
    );
    assert!(escrow.plan(START, &acme()).is_none());
    assert_eq!(escrow.unread(), [acme()]);
}

#[test]
fn reserve_settle_frees_the_unused() {
    let mut escrow = keeper(10_000);
    write_due(&mut escrow, START);
    let held = escrow.free_tokens();
    assert!(held > 0);
    assert_eq!(
        escrow.try_reserve(START, &acme(), 200),
        ReserveOutcome::Reserved
    );
    assert_eq!(escrow.free_tokens(), held - 200);
    escrow.settle(START, &acme(), 200, 150);
    assert_eq!(escrow.free_tokens(), held - 150);
}

#[test]
fn plan_waiting_call_is_urgent_and_covered() {
    let mut escrow = keeper(10_000);
    assert_eq!(
        escrow.try_reserve(START, &acme(), 5_000),
        ReserveOutcome::Short
    );
    escrow.begin_wait(START, &acme(), 5_000);
    assert!(escrow.is_urgent(START, &acme()));
    write_due(&mut escrow, START);
    assert_eq!(
        escrow.try_reserve(START, &acme(), 5_000),
        ReserveOutcome::Reserved
    );
    escrow.end_wait(&acme(), 5_000);
    assert!(!escrow.is_urgent(START, &acme()));
}

/// What is left is less than one request. While other routers may still give something back the
/// request waits; after that it is refused for good, until somebody gives back or the total is
/// raised.
#[test]
fn reserve_exhausted_only_after_others_gave_back() {
    let mut escrow = keeper(10_000);
    escrow.take_ledger(START, &acme(), taken(9_900), true);
    assert_eq!(
        escrow.try_reserve(START, &acme(), 500),
        ReserveOutcome::Short
    );
    let later = START.plus_ms(2_000);
    escrow.take_ledger(later, &acme(), taken(9_900), true);
    assert_eq!(
        escrow.try_reserve(later, &acme(), 500),
        ReserveOutcome::Exhausted
    );
    escrow.take_ledger(later, &acme(), taken(9_800), true);
    assert_eq!(
        escrow.try_reserve(later, &acme(), 500),
        ReserveOutcome::Short
    );
    escrow.set_config(later, &config(2, 20_000));
    assert_eq!(
        escrow.try_reserve(later, &acme(), 500),
        ReserveOutcome::Short
    );
}

/// The ledger cannot be read for seconds, and by what was last seen of it a request does not fit.
/// Others may have given back since: the caller must not be told that the total is used up.
#[test]
fn reserve_old_ledger_is_never_exhausted() {
    let mut escrow = keeper(10_000);
    escrow.take_ledger(START, &acme(), taken(9_900), true);
    for step in 0..20 {
        let now = START.plus_ms(step * 500);
        let outcome = escrow.try_reserve(now, &acme(), 500);
        let is_fresh = step * 500 <= 2_500;
        assert!(is_fresh || outcome == ReserveOutcome::Short, "step {step}");
    }
}

/// A call waits for more than is left. Nothing is taken for it: smaller calls elsewhere can use the
/// rest, and the call is refused for good in time. The rest once went back and forth, and each time
/// looked as if somebody had given something back.
#[test]
fn plan_rest_that_covers_no_call_stays() {
    let mut escrow = keeper(10_000);
    escrow.take_ledger(START, &acme(), taken(9_700), true);
    escrow.begin_wait(START, &acme(), 5_000);
    assert_eq!(escrow.plan(START, &acme()), None);
    escrow.begin_wait(START, &acme(), 200);
    let change = escrow.plan(START, &acme()).expect("a change");
    assert_eq!(change.transfer, TokenTransfer::Take(200));
}

/// A total that is lowered below what is taken has everything given back that is not promised.
#[test]
fn plan_lowered_total_gives_back() {
    let mut escrow = keeper(100_000);
    write_due(&mut escrow, START);
    assert!(escrow.free_tokens() > 0);
    escrow.set_config(START, &config(2, 0));
    write_due(&mut escrow, START);
    assert_eq!(escrow.free_tokens(), 0);
}

#[test]
fn plan_closing_gives_everything_back() {
    let mut escrow = keeper(100_000);
    write_due(&mut escrow, START);
    escrow.try_reserve(START, &acme(), 300);
    escrow.settle(START, &acme(), 300, 120);
    escrow.close();
    write_due(&mut escrow, START);
    assert_eq!(escrow.free_tokens(), 0);
    let ledger = escrow.ledger(&acme()).expect("a ledger");
    assert_eq!(ledger.taken, 120);
}

/// The same change is asked for until its outcome is known, and what it gives back cannot be spent
/// in the meantime.
#[test]
fn plan_pending_change_is_repeated() {
    let mut escrow = keeper(100_000);
    write_due(&mut escrow, START);
    escrow.close();
    let first = escrow.plan(START, &acme()).expect("a change");
    assert!(matches!(first.transfer, TokenTransfer::GiveBack(_)));
    assert_eq!(escrow.free_tokens(), 0);
    assert_eq!(escrow.plan(START.plus_ms(500), &acme()), Some(first));
    let ledger = escrow.ledger(&acme()).expect("a ledger").clone();
    escrow.revert(START, &acme(), ledger);
    assert!(escrow.free_tokens() > 0);
}

/// The last part of a total is left, and several keepers have seen demand. None of them holds any
/// of it in advance, so that whoever needs it finds it in the ledger.
#[test]
fn plan_last_part_is_held_by_nobody() {
    let mut escrow = keeper(100_000);
    for _ in 0..50 {
        escrow.begin_wait(START, &acme(), 400);
        escrow.end_wait(&acme(), 400);
    }
    escrow.take_ledger(START, &acme(), taken(97_000), true);
    assert_eq!(escrow.plan(START, &acme()), None);
    assert_eq!(escrow.free_tokens(), 0);
}

#[test]
fn plan_one_keeper_holds_no_more_than_its_part() {
    let mut escrow = keeper(100_000);
    for step in 0..40 {
        let now = START.plus_ms(step * 50);
        escrow.begin_wait(now, &acme(), 5_000);
        escrow.end_wait(&acme(), 5_000);
        write_due(&mut escrow, now);
        if escrow.try_reserve(now, &acme(), 100) == ReserveOutcome::Reserved {
            escrow.settle(now, &acme(), 100, 0);
        }
    }
    assert!(escrow.free_tokens() <= 30_000, "{}", escrow.free_tokens());
}

#[test]
fn borrower_takes_nothing_from_the_ledger() {
    let mut escrow = keeper(100_000);
    escrow.set_role(&acme(), EscrowRole::Borrower);
    escrow.begin_wait(START, &acme(), 500);
    assert_eq!(escrow.plan(START, &acme()), None);
    let request = escrow.loan_wanted(START, &acme()).expect("a request");
    assert_eq!((request.least, request.need), (500, 500));
    escrow.receive(&acme(), loan(700), 700);
    assert_eq!(escrow.loan_wanted(START, &acme()), None);
    assert_eq!(
        escrow.try_reserve(START, &acme(), 500),
        ReserveOutcome::Reserved
    );
}

/// A router kept a workspace while the one that usually does was out of reach, and holds seconds of its demand.
/// The ledger was told so: it is given back there in one write, or it would count as lost when the router ends.
/// What is left over later goes to the keeper, and no ledger is written for it.
#[test]
fn borrower_gives_back_to_the_ledger_what_it_took_there() {
    let mut escrow = keeper(1_000_000);
    for second in 0..20 {
        let now = START.plus_ms(second * 1_000);
        write_due(&mut escrow, now);
        assert_eq!(
            escrow.try_reserve(now, &acme(), 6_000),
            ReserveOutcome::Reserved
        );
        escrow.settle(now, &acme(), 6_000, 6_000);
    }
    let now = START.plus_ms(19_500);
    let held = escrow.free_tokens();
    assert!(held > 20_000, "{held}");
    escrow.set_role(&acme(), EscrowRole::Borrower);
    assert_eq!(escrow.begin_return(now, &acme()), None);
    let change = write_due(&mut escrow, now).expect("a change");
    assert_eq!(change.transfer, TokenTransfer::GiveBack(held));
    assert_eq!(escrow.plan(now, &acme()), None);
    escrow.receive(&acme(), loan(30_000), 30_000);
    assert_eq!(escrow.plan(now, &acme()), None);
    assert!(escrow.begin_return(now, &acme()).is_some());
}

/// A call of a router that borrows used less than was reserved for it. Of 195 routers each gave such rests back
/// to the ledger by itself: two of three writes of a day. They go to the keeper, with what calls used, so that
/// its demand is what callers use and not what was lent.
#[test]
fn borrower_hands_what_is_left_over_to_the_keeper() {
    let (mut lender, mut borrower) = (keeper(1_000_000), keeper(1_000_000));
    borrower.set_role(&acme(), EscrowRole::Borrower);
    lender.receive(&acme(), loan(0), 200_000);
    borrower.begin_wait(START, &acme(), 20_000);
    let request = borrower.loan_wanted(START, &acme()).expect("a request");
    lender.note_request(START, &acme(), request);
    let LoanReply::Lent(lent) = lender.lend(START, &acme(), request) else {
        panic!("nothing was lent");
    };
    borrower.receive(&acme(), request, lent);
    borrower.end_wait(&acme(), 20_000);
    assert_eq!(
        borrower.try_reserve(START, &acme(), 20_000),
        ReserveOutcome::Reserved
    );
    borrower.settle(START, &acme(), 20_000, 4_000);
    let now = START.plus_ms(8_000);
    let handed = borrower.begin_return(now, &acme()).expect("a return");
    assert!(handed.tokens > 10_000, "{handed:?}");
    assert_eq!(handed.used, -16_000);
    assert!(lender.take_back(now, &acme(), handed));
    borrower.finish_return(&acme(), handed);
    assert_eq!(borrower.begin_return(now, &acme()), None);
}

/// A keeper lends to dozens of borrowers a second of their demand ahead, and each of them holds it. Nothing of
/// that is used by calls yet: the keeper holds the seconds of demand that it is meant to, and not three times as
/// much, which would die with it.
#[test]
fn lend_ahead_is_no_demand() {
    let held = |ahead| {
        let mut lender = keeper(20_000_000);
        for second in 0..30 {
            let now = START.plus_ms(second * 1_000);
            write_due(&mut lender, now);
            for _ in 0..10 {
                let request = LoanRequest {
                    ahead,
                    ..loan(10_000)
                };
                lender.note_request(now, &acme(), request);
                lender.lend(now, &acme(), request);
            }
        }
        write_due(&mut lender, START.plus_ms(30_000));
        lender.free_tokens()
    };
    let (usual, stocked) = (held(0), held(40_000));
    assert!(stocked < usual * 17 / 10, "{stocked} held and not {usual}");
}

/// The ledger gets out of reach, and a keeper asks those of other domains for tokens. With its first question it told
/// all that its callers had used since it started as if that were new: the other keeper took 3 million tokens where
/// 0.2 million a second were used, out of reach of everybody else, and as much was lost where it died.
#[test]
fn keeper_that_borrows_tells_no_past_use() {
    let mut escrow = keeper(1_000_000);
    escrow.receive(&acme(), loan(0), 200_000);
    use_tokens(&mut escrow, 150_000);
    escrow.begin_wait(START, &acme(), 90_000);
    let request = escrow.loan_wanted(START, &acme()).expect("a request");
    assert_eq!((request.need, request.used), (40_000, 0));
}

/// A keeper becomes a borrower, as a router that comes before it is back. What its callers used before is no demand
/// of the one that keeps the workspace now; what they use from then on is.
#[test]
fn former_keeper_tells_what_calls_use_from_then_on() {
    let mut escrow = keeper(1_000_000);
    escrow.receive(&acme(), loan(0), 200_000);
    use_tokens(&mut escrow, 150_000);
    escrow.set_role(&acme(), EscrowRole::Borrower);
    use_tokens(&mut escrow, 20_000);
    escrow.begin_wait(START, &acme(), 90_000);
    let request = escrow.loan_wanted(START, &acme()).expect("a request");
    assert_eq!(request.used, 20_000);
}

/// A keeper lends what is asked for, or as much of it as helps at least one call, or nothing.
#[test]
fn lend_whole_part_or_nothing() {
    let request = |least, need| LoanRequest {
        least,
        need,
        ahead: 0,
        used: 0,
    };
    let mut escrow = keeper(100_000);
    escrow.receive(&acme(), loan(1_000), 1_000);
    let held = escrow.free_tokens();
    assert_eq!(
        escrow.lend(START, &acme(), request(300, 600)),
        LoanReply::Lent(600)
    );
    assert_eq!(escrow.free_tokens(), held - 600);
    assert_eq!(
        escrow.lend(START, &acme(), request(300, 5_000)),
        LoanReply::Lent(held - 600)
    );
    assert_eq!(
        escrow.lend(START, &acme(), request(300, 300)),
        LoanReply::Short
    );
}

/// The total is used up. A keeper says so, and the borrower refuses its callers for good for as
/// long as that word counts.
#[test]
fn lend_exhausted_reaches_the_borrower() {
    let mut lender = keeper(10_000);
    lender.take_ledger(START, &acme(), taken(10_000), true);
    let request = LoanRequest {
        least: 400,
        need: 900,
        ahead: 0,
        used: 0,
    };
    assert_eq!(lender.lend(START, &acme(), request), LoanReply::Short);
    let later = START.plus_ms(1_500);
    assert_eq!(lender.lend(later, &acme(), request), LoanReply::Exhausted);
    let mut borrower = keeper(10_000);
    borrower.set_role(&acme(), EscrowRole::Borrower);
    borrower.note_exhausted(later, &acme(), 400);
    assert_eq!(
        borrower.try_reserve(later, &acme(), 400),
        ReserveOutcome::Exhausted
    );
    assert_eq!(
        borrower.try_reserve(later, &acme(), 300),
        ReserveOutcome::Short
    );
    let after = later.plus_ms(1_200);
    assert_eq!(
        borrower.try_reserve(after, &acme(), 400),
        ReserveOutcome::Short
    );
}

/// What happens next in a session.
#[derive(Clone, Copy, Debug)]
enum SessionStep {
    /// A router reserves.
    Reserve { router: u8, tokens: u16 },
    /// A router asks another for tokens; the answer may be lost.
    Borrow {
        router: u8,
        lender: u8,
        tokens: u16,
        is_lost: bool,
    },
    /// A router hands back to another what it holds too much of.
    Return {
        router: u8,
        keeper: u8,
        end: ReturnEnd,
    },
    /// A router reads the ledger.
    Read { router: u8 },
    /// A router is told of the ledger by another that wrote it, so many writes late.
    Told { router: u8, late: u8 },
    /// A router keeps the workspace from now on, or borrows.
    Role { router: u8, is_keeper: bool },
    /// A router ends its oldest call, which used a part of its bound.
    Settle { router: u8, part: u8 },
    /// A router writes, and the store does so and answers.
    Write { router: u8 },
    /// A router writes, and the store does so without an answer.
    WriteLost { router: u8 },
    /// A router writes; nothing is done now, and the write may be done later.
    WriteLate { router: u8 },
    /// One of the late writes is done, if its condition still holds.
    Late { index: u8 },
    /// A router is killed, and another incarnation starts.
    Kill { router: u8 },
    /// A router is told to end.
    Close { router: u8 },
    /// The operator raises the total.
    Raise { tokens: u16 },
    /// Time passes.
    Wait { ms: u16 },
}

/// What becomes of tokens that are handed back.
#[derive(Clone, Copy, Debug)]
enum ReturnEnd {
    /// The keeper has them and says so, or says that it does not take them.
    Answered,
    /// The keeper has them, and its answer is lost.
    AnswerLost,
    /// They are lost on the way.
    Lost,
}

impl Arbitrary for SessionStep {
    fn arbitrary(source: &mut Gen) -> Self {
        let router = u8::arbitrary(source) % 3;
        match u8::arbitrary(source) % 27 {
            25..=26 => SessionStep::Told {
                router,
                late: u8::arbitrary(source) % 4,
            },
            22..=24 => SessionStep::Return {
                router,
                keeper: u8::arbitrary(source) % 3,
                end: match u8::arbitrary(source) % 4 {
                    0 => ReturnEnd::AnswerLost,
                    1 => ReturnEnd::Lost,
                    _ => ReturnEnd::Answered,
                },
            },
            20..=21 => SessionStep::Read { router },
            16..=18 => SessionStep::Borrow {
                router,
                lender: u8::arbitrary(source) % 3,
                tokens: u16::arbitrary(source) % 900,
                is_lost: u8::arbitrary(source) % 4 == 0,
            },
            19 => SessionStep::Role {
                router,
                is_keeper: bool::arbitrary(source),
            },
            0..=3 => SessionStep::Reserve {
                router,
                tokens: u16::arbitrary(source) % 900,
            },
            4..=6 => SessionStep::Settle {
                router,
                part: u8::arbitrary(source),
            },
            7..=9 => SessionStep::Write { router },
            10 => SessionStep::WriteLost { router },
            11 => SessionStep::WriteLate { router },
            12 => SessionStep::Late {
                index: u8::arbitrary(source),
            },
            13 => match u8::arbitrary(source) % 3 {
                0 => SessionStep::Kill { router },
                1 => SessionStep::Close { router },
                _ => SessionStep::Raise {
                    tokens: u16::arbitrary(source) % 2_000,
                },
            },
            _ => SessionStep::Wait {
                ms: u16::arbitrary(source) % 4_000,
            },
        }
    }
}

/// A write that was sent and may be done later.
#[derive(Clone, Debug)]
struct LateWrite {
    revision: u64,
    ledger: BudgetLedger,
}

#[derive(Debug)]
struct SessionRouter {
    escrow: TokenEscrow,
    revision: u64,
    open: Vec<u64>,
}

/// A store, three routers, and what was spent.
#[derive(Debug)]
struct EscrowSession {
    now: ClockTime,
    prepaid: u64,
    version: u64,
    lives: u64,
    revision: u64,
    ledger: BudgetLedger,
    /// All ledgers that were written, the first at revision 1.
    written: Vec<BudgetLedger>,
    late: Vec<LateWrite>,
    routers: BTreeMap<u8, SessionRouter>,
    spent: u64,
}

impl EscrowSession {
    fn new() -> Self {
        let mut session = EscrowSession {
            now: START,
            prepaid: 8_000,
            version: 1,
            lives: 0,
            revision: 1,
            ledger: BudgetLedger::default(),
            written: vec![BudgetLedger::default()],
            late: Vec::new(),
            routers: BTreeMap::new(),
            spent: 0,
        };
        (0..3).for_each(|number| session.start(number));
        session
    }

    fn start(&mut self, number: u8) {
        self.lives += 1;
        let name = format!("host-{number}@{}", self.lives);
        let mut escrow = TokenEscrow::new(EscrowOptions::default(), name);
        escrow.set_config(self.now, &config(self.version, self.prepaid));
        escrow.set_fleet(3, 3);
        escrow.set_role(&acme(), EscrowRole::Keeper);
        escrow.take_ledger(self.now, &acme(), self.ledger.clone(), true);
        let router = SessionRouter {
            escrow,
            revision: self.revision,
            open: Vec::new(),
        };
        self.routers.insert(number, router);
    }

    fn run(&mut self, step: SessionStep) {
        match step {
            SessionStep::Reserve { router, tokens } => self.reserve(router, tokens.into()),
            SessionStep::Borrow {
                router,
                lender,
                tokens,
                is_lost,
            } => self.borrow(router, lender, tokens.into(), is_lost),
            SessionStep::Return {
                router,
                keeper,
                end,
            } => self.hand_back(router, keeper, end),
            SessionStep::Read { router } => self.read(router),
            SessionStep::Told { router, late } => self.tell(router, late),
            SessionStep::Role { router, is_keeper } => {
                let role = match is_keeper {
                    true => EscrowRole::Keeper,
                    false => EscrowRole::Borrower,
                };
                self.router(router).escrow.set_role(&acme(), role);
            }
            SessionStep::Settle { router, part } => self.settle(router, part),
            SessionStep::Write { router } => self.write(router, true, true),
            SessionStep::WriteLost { router } => self.write(router, true, false),
            SessionStep::WriteLate { router } => self.write(router, false, false),
            SessionStep::Late { index } => self.do_late(index),
            SessionStep::Kill { router } => self.kill(router),
            SessionStep::Close { router } => {
                self.router(router).escrow.close();
            }
            SessionStep::Raise { tokens } => self.raise(tokens.into()),
            SessionStep::Wait { ms } => self.now = self.now.plus_ms(ms.into()),
        }
    }

    fn router(&mut self, number: u8) -> &mut SessionRouter {
        self.routers.get_mut(&number).expect("a router")
    }

    fn reserve(&mut self, number: u8, tokens: u64) {
        let now = self.now;
        let router = self.router(number);
        if router.escrow.try_reserve(now, &acme(), tokens) == ReserveOutcome::Reserved {
            router.open.push(tokens);
        } else {
            router.escrow.begin_wait(now, &acme(), tokens);
            router.escrow.end_wait(&acme(), tokens);
        }
    }

    fn borrow(&mut self, number: u8, lender: u8, tokens: u64, is_lost: bool) {
        if number == lender {
            return;
        }
        let request = LoanRequest {
            least: tokens,
            need: tokens,
            ahead: tokens,
            used: 0,
        };
        let now = self.now;
        let lender = &mut self.router(lender).escrow;
        lender.note_request(now, &acme(), request);
        let reply = lender.lend(now, &acme(), request);
        if let LoanReply::Lent(lent) = reply
            && !is_lost
        {
            self.router(number).escrow.receive(&acme(), request, lent);
        }
    }

    fn hand_back(&mut self, number: u8, keeper: u8, end: ReturnEnd) {
        let now = self.now;
        if number == keeper {
            return;
        }
        let Some(handed) = self.router(number).escrow.begin_return(now, &acme()) else {
            return;
        };
        let is_taken = match end {
            ReturnEnd::Answered | ReturnEnd::AnswerLost => self.take_back(keeper, handed),
            ReturnEnd::Lost => false,
        };
        let escrow = &mut self.router(number).escrow;
        match (end, is_taken) {
            (ReturnEnd::Answered, true) => escrow.finish_return(&acme(), handed),
            (ReturnEnd::Answered, false) => escrow.undo_return(&acme(), handed),
            (ReturnEnd::AnswerLost | ReturnEnd::Lost, _) => escrow.lose_return(&acme(), handed),
        }
    }

    fn take_back(&mut self, keeper: u8, handed: LoanReturn) -> bool {
        let now = self.now;
        self.router(keeper).escrow.take_back(now, &acme(), handed)
    }

    fn settle(&mut self, number: u8, part: u8) {
        let now = self.now;
        let router = self.router(number);
        if router.open.is_empty() {
            return;
        }
        let reserved = router.open.remove(0);
        let used = reserved * u64::from(part) / 255;
        router.escrow.settle(now, &acme(), reserved, used);
        self.spent += used;
    }

    /// The calls of a killed router may have used all that was reserved for them.
    fn kill(&mut self, number: u8) {
        let open: u64 = self.router(number).open.iter().sum();
        self.spent += open;
        self.start(number);
    }

    fn raise(&mut self, tokens: u64) {
        self.prepaid += tokens;
        self.version += 1;
        let (now, config) = (self.now, config(self.version, self.prepaid));
        // One router hears of it later, as it is cut off.
        for (number, router) in &mut self.routers {
            if *number != 0 {
                router.escrow.set_config(now, &config);
            }
        }
    }

    fn write(&mut self, number: u8, is_done: bool, is_answered: bool) {
        let (now, revision) = (self.now, self.revision);
        let stored = self.ledger.clone();
        let router = self.router(number);
        let Some(change) = router.escrow.plan(now, &acme()) else {
            return;
        };
        let name = router.escrow.router().to_owned();
        let base = router.escrow.ledger(&acme()).expect("a ledger");
        let next = base.with_change(&name, change);
        if router.revision != revision {
            if is_answered {
                // 409 with the object as it is.
                router.revision = revision;
                match stored.has_change(&name, change.number) {
                    true => router.escrow.commit(now, &acme(), stored),
                    false => router.escrow.revert(now, &acme(), stored),
                }
            }
            return;
        }
        if !is_done {
            let revision = router.revision;
            let ledger = next;
            self.late.push(LateWrite { revision, ledger });
            return;
        }
        if is_answered {
            router.escrow.commit(now, &acme(), next.clone());
            router.revision = revision + 1;
        }
        self.put(next);
    }

    fn put(&mut self, ledger: BudgetLedger) {
        self.ledger = ledger.clone();
        self.written.push(ledger);
        self.revision += 1;
    }

    /// What is no newer than what the router knows says nothing to it.
    fn tell(&mut self, number: u8, late: u8) {
        let told = self.revision.saturating_sub(late.into()).max(1);
        let now = self.now;
        if told <= self.router(number).revision {
            return;
        }
        let ledger = self.written[told as usize - 1].clone();
        let router = self.router(number);
        router.escrow.take_ledger(now, &acme(), ledger, true);
        router.revision = told;
    }

    fn read(&mut self, number: u8) {
        let (now, revision, ledger) = (self.now, self.revision, self.ledger.clone());
        let router = self.router(number);
        let is_newer = router.revision != revision;
        router.escrow.take_ledger(now, &acme(), ledger, is_newer);
        router.revision = revision;
    }

    fn do_late(&mut self, index: u8) {
        if self.late.is_empty() {
            return;
        }
        let write = self.late.remove(usize::from(index) % self.late.len());
        if write.revision == self.revision {
            self.put(write.ledger);
        }
    }

    /// The most that can be spent from here on without another write.
    fn exposure(&self) -> u64 {
        let routers = self.routers.values();
        let exposed =
            routers.map(|router| router.escrow.free_tokens() + router.open.iter().sum::<u64>());
        exposed.sum()
    }
}

/// Routers reserve, settle, write, read, are told of writes late, lend, hand back, are killed and told to end; writes and loans are lost, writes
/// are late or overtaken, and the total is raised. At no moment may what was spent and what can still be spent without
/// asking exceed what the ledger says is taken, nor that the total.
#[test]
fn escrow_random_sessions_never_overspend() {
    fn holds(steps: Vec<SessionStep>) -> bool {
        let mut session = EscrowSession::new();
        for step in steps {
            session.run(step);
            let taken = session.ledger.taken;
            if session.spent + session.exposure() > taken || taken > session.prepaid {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::new(400))
        .tests(4_000)
        .quickcheck(holds as fn(Vec<SessionStep>) -> bool);
}
