//! Tests of prepaid totals: single steps, and random sessions of a whole fleet.

use std::collections::BTreeMap;

use beechsaddle_core::gateway::{
    CallUrgency, CallerLimits, ClockBounds, EscrowOptions, EscrowRole, GatewayConfig, LedgerChange,
    LoanReply, LoanRequest, LoanReturn, ReserveOutcome, StartBound, TokenEscrow, TokenTransfer,
    UrgencyNeed, WorkspaceLedger, WorkspaceRule,
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

fn taken(tokens: u64) -> WorkspaceLedger {
    WorkspaceLedger {
        taken: tokens,
        ..WorkspaceLedger::default()
    }
}

fn allocator(prepaid: u64) -> TokenEscrow {
    let mut escrow = TokenEscrow::new(EscrowOptions::default(), "host@1");
    escrow.set_config(START, &config(1, prepaid));
    escrow.set_fleet(3, 3);
    escrow.set_role(&acme(), EscrowRole::Allocator);
    escrow.take_ledger(START, &acme(), WorkspaceLedger::default(), true);
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

/// Runs a call that uses all its reserved tokens.
fn use_tokens(escrow: &mut TokenEscrow, tokens: u64) {
    let outcome = escrow.try_reserve(START, &acme(), tokens);
    assert_eq!(outcome, ReserveOutcome::Reserved);
    escrow.settle(START, &acme(), tokens, tokens);
}

/// Writes the due change and returns it.
fn write_due(escrow: &mut TokenEscrow, now: ClockTime) -> Option<LedgerChange> {
    let change = escrow.plan(now, &acme())?;
    let ledger = escrow.ledger(&acme()).expect("a ledger");
    let ledger = ledger.with_change("host@1", change);
    escrow.commit(now, &acme(), ledger);
    Some(change)
}

#[test]
fn reserve_without_total_is_unlimited() {
    let mut escrow = TokenEscrow::new(EscrowOptions::default(), "host@1");
    let outcome = escrow.try_reserve(START, &acme(), 1_000_000);
    assert_eq!(outcome, ReserveOutcome::Reserved);
}

#[test]
fn reserve_before_ledger_is_read_is_short() {
    let mut escrow = TokenEscrow::new(EscrowOptions::default(), "host@1");
    escrow.set_config(START, &config(1, 1_000));
    escrow.set_role(&acme(), EscrowRole::Allocator);
    assert_eq!(
        escrow.try_reserve(START, &acme(), 10),
        ReserveOutcome::Short
    );
    assert!(escrow.plan(START, &acme()).is_none());
    assert_eq!(escrow.unread(), [acme()]);
}

#[test]
fn settle_frees_unused_tokens() {
    let mut escrow = allocator(10_000);
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
    let mut escrow = allocator(10_000);
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

/// Less is left than one request needs. It waits while other routers may still return tokens; after
/// that it is refused for good, until a router returns some or the total is raised.
#[test]
fn reserve_exhausted_only_after_return_period() {
    let mut escrow = allocator(10_000);
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

/// The ledger cannot be read for seconds, and a request does not fit its last known state. Other
/// routers may have returned tokens since, so the request must not be refused as exhausted.
#[test]
fn reserve_stale_ledger_is_never_exhausted() {
    let mut escrow = allocator(10_000);
    escrow.take_ledger(START, &acme(), taken(9_900), true);
    for step in 0..20 {
        let now = START.plus_ms(step * 500);
        let outcome = escrow.try_reserve(now, &acme(), 500);
        let is_fresh = step * 500 <= 2_500;
        assert!(is_fresh || outcome == ReserveOutcome::Short, "step {step}");
    }
}

/// A call waits for more than is left. Nothing is taken for it: smaller calls elsewhere can use the
/// remainder, and the call is refused for good in time. Otherwise the remainder moves back and
/// forth, and each time looks as if a router had returned tokens.
#[test]
fn plan_leaves_remainder_that_covers_no_call() {
    let mut escrow = allocator(10_000);
    escrow.take_ledger(START, &acme(), taken(9_700), true);
    escrow.begin_wait(START, &acme(), 5_000);
    assert_eq!(escrow.plan(START, &acme()), None);
    escrow.begin_wait(START, &acme(), 200);
    let change = escrow.plan(START, &acme()).expect("a change");
    assert_eq!(change.transfer, TokenTransfer::Take(200));
}

/// A total that is lowered below the taken amount has all unreserved tokens returned.
#[test]
fn plan_lowered_total_returns_free_tokens() {
    let mut escrow = allocator(100_000);
    write_due(&mut escrow, START);
    assert!(escrow.free_tokens() > 0);
    escrow.set_config(START, &config(2, 0));
    write_due(&mut escrow, START);
    assert_eq!(escrow.free_tokens(), 0);
}

#[test]
fn plan_closing_returns_all_free_tokens() {
    let mut escrow = allocator(100_000);
    write_due(&mut escrow, START);
    escrow.try_reserve(START, &acme(), 300);
    escrow.settle(START, &acme(), 300, 120);
    escrow.close();
    write_due(&mut escrow, START);
    assert_eq!(escrow.free_tokens(), 0);
    let ledger = escrow.ledger(&acme()).expect("a ledger");
    assert_eq!(ledger.taken, 120);
}

/// The same change is planned until its outcome is known, and the tokens that it returns cannot be
/// spent in the meantime.
#[test]
fn plan_pending_change_is_repeated() {
    let mut escrow = allocator(100_000);
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

/// Only the last part of a total is left, and several allocators have had demand. None of them
/// holds any of it in advance, so that any router finds it in the ledger.
#[test]
fn plan_last_part_stays_in_the_ledger() {
    let mut escrow = allocator(100_000);
    for _ in 0..50 {
        escrow.begin_wait(START, &acme(), 400);
        escrow.end_wait(&acme(), 400);
    }
    escrow.take_ledger(START, &acme(), taken(97_000), true);
    assert_eq!(escrow.plan(START, &acme()), None);
    assert_eq!(escrow.free_tokens(), 0);
}

#[test]
fn plan_allocator_holds_bounded_part() {
    let mut escrow = allocator(100_000);
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
    let mut escrow = allocator(100_000);
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

/// A router allocated a workspace while the usual allocator was unreachable, and holds seconds of
/// its demand. These are in its ledger entry and are returned there in one write, or they would
/// count as lost when the router ends. Later surpluses go to the allocator, without a ledger write.
#[test]
fn former_allocator_returns_tokens_to_the_ledger() {
    let mut escrow = allocator(1_000_000);
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

/// While a change has no outcome, the ledger may have tokens as deferred that a former allocator
/// still holds: had it returned them, the next process on its host would return them once more.
#[test]
fn former_allocator_keeps_deferred_tokens_of_a_pending_change() {
    let mut escrow = allocator(300_000);
    escrow.set_clock(ClockBounds {
        earliest: Some(START),
        started: StartBound::By(START),
    });
    let loan_return = LoanReturn {
        tokens: 8_000,
        used: 0,
    };
    assert!(escrow.take_back(START, &acme(), loan_return));
    let change = escrow.plan(START, &acme()).expect("a change");
    let TokenTransfer::Take(taken) = change.transfer else {
        panic!("{change:?}");
    };
    let reserve = change.deferred.expect("deferred tokens");
    let deferred_here = reserve.tokens - taken;
    assert!(deferred_here > 0);
    escrow.set_role(&acme(), EscrowRole::Borrower);
    let returned = escrow.begin_return(START, &acme());
    let returned = returned.map_or(0, |loan_return| loan_return.tokens);
    assert!(returned <= 8_000 - deferred_here, "{returned} returned");
    assert_eq!(escrow.held_tokens(), 8_000 - returned);
}

/// A call of a borrower used less than was reserved for it. If 195 routers each return such
/// remainders to the ledger, this causes two of three writes of a day. They go to the allocator
/// instead, together with the tokens used, so that its demand is what callers use and not what it
/// lent.
#[test]
fn borrower_returns_surplus_to_the_allocator() {
    let (mut lender, mut borrower) = (allocator(1_000_000), allocator(1_000_000));
    borrower.set_role(&acme(), EscrowRole::Borrower);
    lender.receive(&acme(), loan(0), 200_000);
    borrower.begin_wait(START, &acme(), 20_000);
    let request = borrower.loan_wanted(START, &acme()).expect("a request");
    lender.record_request(START, &acme(), request);
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
    let returned = borrower.begin_return(now, &acme()).expect("a return");
    assert!(returned.tokens > 10_000, "{returned:?}");
    assert_eq!(returned.used, -16_000);
    assert!(lender.take_back(now, &acme(), returned));
    borrower.finish_return(&acme(), returned);
    assert_eq!(borrower.begin_return(now, &acme()), None);
}

/// An allocator lends dozens of borrowers a second of their demand in advance, which they hold.
/// Calls have not used any of that, so the allocator holds its configured seconds of demand, and
/// not three times as much, which would be lost with it.
#[test]
fn lend_ahead_does_not_count_as_demand() {
    let held = |ahead| {
        let mut lender = allocator(20_000_000);
        for second in 0..30 {
            let now = START.plus_ms(second * 1_000);
            write_due(&mut lender, now);
            for _ in 0..10 {
                let request = LoanRequest {
                    ahead,
                    ..loan(10_000)
                };
                lender.record_request(now, &acme(), request);
                lender.lend(now, &acme(), request);
            }
        }
        write_due(&mut lender, START.plus_ms(30_000));
        lender.free_tokens()
    };
    let (usual, stocked) = (held(0), held(40_000));
    assert!(stocked < usual * 17 / 10, "{stocked} held and not {usual}");
}

/// The ledger becomes unreachable, and an allocator borrows from those of other domains. If its
/// first request reported all use since its start as new, the lender would take 3 million tokens
/// where 0.2 million per second are used: unavailable to other routers, and lost with the lender.
#[test]
fn borrowing_allocator_reports_no_past_use() {
    let mut escrow = allocator(1_000_000);
    escrow.receive(&acme(), loan(0), 200_000);
    use_tokens(&mut escrow, 150_000);
    escrow.begin_wait(START, &acme(), 90_000);
    let request = escrow.loan_wanted(START, &acme()).expect("a request");
    assert_eq!((request.need, request.used), (40_000, 0));
}

/// An allocator becomes a borrower, as the preferred router is back. Earlier use of its callers is
/// not demand on the new allocator; use from then on is.
#[test]
fn former_allocator_reports_use_since_role_change() {
    let mut escrow = allocator(1_000_000);
    escrow.receive(&acme(), loan(0), 200_000);
    use_tokens(&mut escrow, 150_000);
    escrow.set_role(&acme(), EscrowRole::Borrower);
    use_tokens(&mut escrow, 20_000);
    escrow.begin_wait(START, &acme(), 90_000);
    let request = escrow.loan_wanted(START, &acme()).expect("a request");
    assert_eq!(request.used, 20_000);
}

/// An allocator lends the requested amount, or a part that helps at least one call, or nothing.
#[test]
fn lend_full_amount_part_or_nothing() {
    let request = |least, need| LoanRequest {
        least,
        need,
        ahead: 0,
        used: 0,
    };
    let mut escrow = allocator(100_000);
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

/// The total is exhausted. The allocator reports it, and the borrower refuses its callers for good
/// while that report is valid.
#[test]
fn lend_exhausted_is_applied_by_the_borrower() {
    let mut lender = allocator(10_000);
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
    let mut borrower = allocator(10_000);
    borrower.set_role(&acme(), EscrowRole::Borrower);
    borrower.record_exhausted(later, &acme(), 400);
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

/// A step of a session.
#[derive(Clone, Copy, Debug)]
enum SessionStep {
    /// A router reserves tokens.
    Reserve { router: u8, tokens: u16 },
    /// A router borrows from another; the answer may be lost.
    Borrow {
        router: u8,
        lender: u8,
        tokens: u16,
        is_lost: bool,
    },
    /// A router returns its surplus to another.
    Return {
        router: u8,
        allocator: u8,
        end: ReturnEnd,
    },
    /// A router reads the ledger.
    Read { router: u8 },
    /// A router receives the ledger from another that wrote it, `late` writes behind.
    LedgerUpdate { router: u8, late: u8 },
    /// A router becomes the allocator of the workspace, or a borrower.
    Role { router: u8, is_allocator: bool },
    /// A router ends its oldest call, which used a part of its reservation.
    Settle { router: u8, part: u8 },
    /// A router writes; the store applies the write and answers.
    Write { router: u8 },
    /// A router writes; the store applies the write, and its answer is lost.
    WriteLost { router: u8 },
    /// A router writes; the store may apply the write later.
    WriteLate { router: u8 },
    /// A late write is applied, if its condition still holds.
    Late { index: u8 },
    /// A router is killed, and another incarnation starts.
    Kill { router: u8 },
    /// A router starts to shut down.
    Close { router: u8 },
    /// The operator raises the total.
    Raise { tokens: u16 },
    /// Time passes.
    Wait { ms: u16 },
}

/// The outcome of a return of tokens.
#[derive(Clone, Copy, Debug)]
enum ReturnEnd {
    /// The allocator accepts or refuses them, and its answer arrives.
    Answered,
    /// The allocator accepts or refuses them, and its answer is lost.
    AnswerLost,
    /// The tokens are lost in transit.
    Lost,
}

impl Arbitrary for SessionStep {
    fn arbitrary(source: &mut Gen) -> Self {
        let router = u8::arbitrary(source) % 3;
        match u8::arbitrary(source) % 27 {
            25..=26 => SessionStep::LedgerUpdate {
                router,
                late: u8::arbitrary(source) % 4,
            },
            22..=24 => SessionStep::Return {
                router,
                allocator: u8::arbitrary(source) % 3,
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
                is_allocator: bool::arbitrary(source),
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

/// A write that was sent and may be applied later.
#[derive(Clone, Debug)]
struct LateWrite {
    revision: u64,
    ledger: WorkspaceLedger,
}

#[derive(Debug)]
struct SessionRouter {
    escrow: TokenEscrow,
    revision: u64,
    open: Vec<u64>,
}

/// A store, three routers, and the tokens spent.
#[derive(Debug)]
struct EscrowSession {
    options: EscrowOptions,
    now: ClockTime,
    prepaid: u64,
    version: u64,
    incarnations: u64,
    revision: u64,
    ledger: WorkspaceLedger,
    /// All ledgers that were written, the first at revision 1.
    written: Vec<WorkspaceLedger>,
    late: Vec<LateWrite>,
    routers: BTreeMap<u8, SessionRouter>,
    spent: u64,
}

impl EscrowSession {
    fn new(options: EscrowOptions) -> Self {
        let mut session = EscrowSession {
            options,
            now: START,
            prepaid: 8_000,
            version: 1,
            incarnations: 0,
            revision: 1,
            ledger: WorkspaceLedger::default(),
            written: vec![WorkspaceLedger::default()],
            late: Vec::new(),
            routers: BTreeMap::new(),
            spent: 0,
        };
        (0..3).for_each(|number| session.start(number));
        session
    }

    fn start(&mut self, number: u8) {
        self.incarnations += 1;
        let name = format!("host-{number}@{}", self.incarnations);
        let mut escrow = TokenEscrow::new(self.options, name);
        escrow.set_config(self.now, &config(self.version, self.prepaid));
        escrow.set_fleet(3, 3);
        escrow.set_role(&acme(), EscrowRole::Allocator);
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
                allocator,
                end,
            } => self.hand_back(router, allocator, end),
            SessionStep::Read { router } => self.read(router),
            SessionStep::LedgerUpdate { router, late } => self.deliver_update(router, late),
            SessionStep::Role {
                router,
                is_allocator,
            } => {
                let role = match is_allocator {
                    true => EscrowRole::Allocator,
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
        let outage_ms = self.outage_ms();
        let router = self.router(number);
        let urgency = urgency_of(tokens);
        let escrow = &mut router.escrow;
        escrow.record_call(now, &acme(), urgency, tokens);
        let outcome = escrow.try_reserve_urgent(now, &acme(), urgency, tokens, outage_ms);
        if outcome == ReserveOutcome::Reserved {
            router.open.push(tokens);
        } else {
            router.escrow.begin_wait(now, &acme(), tokens);
            router
                .escrow
                .begin_urgent_wait(now, &acme(), urgency, tokens);
            router.escrow.end_wait(&acme(), tokens);
            router.escrow.end_urgent_wait(&acme(), urgency, tokens);
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
        let (now, outage_ms) = (self.now, self.outage_ms());
        let needs = [UrgencyNeed {
            urgency: urgency_of(tokens),
            least: tokens,
            need: tokens,
            used: tokens as i64,
        }];
        let lender = &mut self.router(lender).escrow;
        lender.record_request(now, &acme(), request);
        lender.record_needs(now, &acme(), &needs);
        let reply = lender.lend_urgent(now, &acme(), request, &needs, outage_ms);
        let levels = lender.levels(now, &acme(), outage_ms);
        let borrower = &mut self.router(number).escrow;
        borrower.record_levels(now, &acme(), &needs, &levels);
        if let LoanReply::Lent(lent) = reply
            && !is_lost
        {
            self.router(number).escrow.receive(&acme(), request, lent);
        }
    }

    fn hand_back(&mut self, number: u8, allocator: u8, end: ReturnEnd) {
        let now = self.now;
        if number == allocator {
            return;
        }
        let Some(returned) = self.router(number).escrow.begin_return(now, &acme()) else {
            return;
        };
        let is_taken = match end {
            ReturnEnd::Answered | ReturnEnd::AnswerLost => self.take_back(allocator, returned),
            ReturnEnd::Lost => false,
        };
        let escrow = &mut self.router(number).escrow;
        match (end, is_taken) {
            (ReturnEnd::Answered, true) => escrow.finish_return(&acme(), returned),
            (ReturnEnd::Answered, false) => escrow.undo_return(&acme(), returned),
            (ReturnEnd::AnswerLost | ReturnEnd::Lost, _) => escrow.lose_return(&acme(), returned),
        }
    }

    fn take_back(&mut self, allocator: u8, returned: LoanReturn) -> bool {
        let now = self.now;
        self.router(allocator)
            .escrow
            .take_back(now, &acme(), returned)
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

    /// The calls of a killed router may have used all their reserved tokens.
    fn kill(&mut self, number: u8) {
        let open: u64 = self.router(number).open.iter().sum();
        self.spent += open;
        self.start(number);
    }

    fn raise(&mut self, tokens: u64) {
        self.prepaid += tokens;
        self.version += 1;
        let (now, config) = (self.now, config(self.version, self.prepaid));
        // Router 0 is partitioned and receives the change later.
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
                // The store answers 409 with the present object.
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

    fn put(&mut self, ledger: WorkspaceLedger) {
        self.ledger = ledger.clone();
        self.written.push(ledger);
        self.revision += 1;
    }

    /// Ignores an update that is no newer than the ledger which the router knows.
    fn deliver_update(&mut self, number: u8, late: u8) {
        let updated_to = self.revision.saturating_sub(late.into()).max(1);
        let now = self.now;
        if updated_to <= self.router(number).revision {
            return;
        }
        let ledger = self.written[updated_to as usize - 1].clone();
        let router = self.router(number);
        router.escrow.take_ledger(now, &acme(), ledger, true);
        router.revision = updated_to;
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

    /// The ledger counts as unreachable in every other second.
    fn outage_ms(&self) -> Option<u64> {
        let second = self.now.as_millis() / 1_000;
        (!second.is_multiple_of(2)).then_some(500)
    }

    /// Returns the most that can be spent from here on without another write.
    fn exposure(&self) -> u64 {
        let routers = self.routers.values();
        let exposed =
            routers.map(|router| router.escrow.free_tokens() + router.open.iter().sum::<u64>());
        exposed.sum()
    }
}

/// Routers reserve, settle, write, read, receive late updates, lend, return tokens, are killed and
/// shut down; writes and loans are lost, writes are late or overtaken, and the total is raised. The
/// tokens spent, plus those that can be spent without another write, never exceed the taken amount
/// in the ledger, which never exceeds the total.
#[test]
fn escrow_random_sessions_never_overspend() {
    fn holds(steps: Vec<SessionStep>) -> bool {
        stays_within_total(EscrowOptions::default(), steps)
    }
    QuickCheck::new()
        .rng(Gen::new(400))
        .tests(4_000)
        .quickcheck(holds as fn(Vec<SessionStep>) -> bool);
}

/// The same while tokens are kept for more urgent calls: no level, need or floor lets routers spend
/// more than they took.
#[test]
fn escrow_random_sessions_by_urgency_never_overspend() {
    fn holds(steps: Vec<SessionStep>) -> bool {
        let options = EscrowOptions {
            reserve_s: 30.0,
            ..EscrowOptions::default()
        };
        stays_within_total(options, steps)
    }
    QuickCheck::new()
        .rng(Gen::new(400))
        .tests(4_000)
        .quickcheck(holds as fn(Vec<SessionStep>) -> bool);
}

fn urgency_of(tokens: u64) -> CallUrgency {
    CallUrgency((tokens % 3) as u8)
}

fn stays_within_total(options: EscrowOptions, steps: Vec<SessionStep>) -> bool {
    let mut session = EscrowSession::new(options);
    for step in steps {
        session.run(step);
        let taken = session.ledger.taken;
        if session.spent + session.exposure() > taken || taken > session.prepaid {
            return false;
        }
    }
    true
}
