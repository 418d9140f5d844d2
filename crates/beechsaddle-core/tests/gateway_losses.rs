//! Tests of the tokens that a workspace loses with terminated routers, with one allocator in each
//! of three domains and no network.

use std::collections::{BTreeMap, VecDeque};

use beechsaddle_core::gateway::{
    CallerLimits, ClockBounds, EscrowOptions, EscrowRole, GatewayConfig, LedgerChange, LoanReply,
    LoanRequest, ReserveOutcome, StartBound, TokenEscrow, TokenTransfer, WorkspaceLedger,
    WorkspaceRule,
};
use beechsaddle_core::prelude::*;

const START: ClockTime = ClockTime::from_millis(1_000_000);

/// The time between two calls, in milliseconds.
const CALL_SPAN_MS: u64 = 10;
/// The tokens that a call uses.
const CALL_TOKENS: u64 = 1_000;
/// The demand of callers, in tokens per second.
const DEMAND: u64 = CALL_TOKENS * 1_000 / CALL_SPAN_MS;
/// The shortest time between two writes of an allocator while no call waits for a write, in
/// milliseconds.
const WRITE_SPAN_MS: u64 = 2_500;

fn acme() -> WorkspaceName {
    WorkspaceName::new("acme")
}

fn config(prepaid: u64) -> GatewayConfig {
    let mut config = GatewayConfig::new(1, CallerLimits::default());
    let rule = WorkspaceRule {
        name: acme(),
        priority: None,
        prepaid: Some(prepaid),
    };
    config.add_workspace(rule, ["key".to_owned()]);
    config
}

/// How long a call waits for deferred tokens, in milliseconds.
const CALL_WAIT_MS: u64 = 700;

/// A call that waits for deferred tokens.
#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    arrived_at: ClockTime,
    second: u64,
}

/// The allocator of one domain.
struct DomainAllocator {
    escrow: TokenEscrow,
    waiting: VecDeque<WaitingCall>,
    written_at: ClockTime,
    started_at: ClockTime,
}

/// Calls that arrived within a second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCount {
    asked: u64,
    served: u64,
}

/// A ledger, its allocators, and callers with a steady rate.
struct LossyFleet {
    now: ClockTime,
    prepaid: u64,
    ledger: WorkspaceLedger,
    is_store_unavailable: bool,
    allocators: Vec<DomainAllocator>,
    incarnations: u64,
    lost: u64,
    /// Deferred tokens of lost routers that their successors returned.
    recovered: u64,
    /// Whether calls wait for deferred tokens, as they do at routers.
    has_waits: bool,
    seconds: BTreeMap<u64, SecondCount>,
    /// The domains of the callers.
    calling: Vec<usize>,
}

impl LossyFleet {
    fn new(prepaid: u64) -> Self {
        let mut fleet = LossyFleet {
            now: START,
            prepaid,
            ledger: WorkspaceLedger::default(),
            is_store_unavailable: false,
            allocators: Vec::new(),
            incarnations: 0,
            lost: 0,
            recovered: 0,
            has_waits: false,
            seconds: BTreeMap::new(),
            calling: vec![0, 1, 2],
        };
        fleet.allocators = (0..3).map(|index| fleet.start(index)).collect();
        fleet
    }

    fn start(&mut self, index: usize) -> DomainAllocator {
        self.incarnations += 1;
        let name = format!("host-{index}@{}", self.incarnations);
        let mut escrow = TokenEscrow::new(EscrowOptions::default(), name);
        escrow.set_config(self.now, &config(self.prepaid));
        escrow.set_fleet(3, 3);
        escrow.set_role(&acme(), EscrowRole::Allocator);
        escrow.take_ledger(self.now, &acme(), self.ledger.clone(), true);
        DomainAllocator {
            escrow,
            waiting: VecDeque::new(),
            written_at: ClockTime::ZERO,
            started_at: self.now,
        }
    }

    /// The allocators at `indexes` lose power and restart without tokens.
    fn lose(&mut self, indexes: impl IntoIterator<Item = usize>) {
        for index in indexes {
            self.lost += self.allocators[index].escrow.held_tokens();
            self.allocators[index] = self.start(index);
        }
    }

    fn run_until(&mut self, second: u64) {
        while self.second() < second {
            self.call();
            (0..self.allocators.len()).for_each(|index| self.tick(index));
            self.now = self.now.plus_ms(CALL_SPAN_MS);
        }
    }

    fn second(&self) -> u64 {
        self.now.since(START) / 1_000
    }

    fn call(&mut self) {
        let call_index = (self.now.since(START) / CALL_SPAN_MS) as usize;
        let index = self.calling[call_index % self.calling.len()];
        let is_queued = !self.allocators[index].waiting.is_empty();
        let is_served = !is_queued && (self.reserve(index) || self.reserve_by_ledger(index));
        let second = self.second();
        let count = self.seconds.entry(second).or_default();
        count.asked += 1;
        if is_served {
            self.count_served(index, second);
        } else if self.has_waits {
            self.begin_wait(index, second);
        }
    }

    fn count_served(&mut self, index: usize, second: u64) {
        self.seconds.entry(second).or_default().served += 1;
        let escrow = &mut self.allocators[index].escrow;
        escrow.settle(self.now, &acme(), CALL_TOKENS, CALL_TOKENS);
    }

    /// Lets a call wait if deferred tokens become usable in time.
    fn begin_wait(&mut self, index: usize, second: u64) {
        let now = self.now;
        let allocator = &mut self.allocators[index];
        allocator.escrow.begin_wait(now, &acme(), CALL_TOKENS);
        let opens_in_ms = allocator.escrow.opens_in_ms(now, &acme());
        if opens_in_ms.is_some_and(|opens_in_ms| opens_in_ms <= CALL_WAIT_MS) {
            let arrived_at = now;
            let waiting = &mut allocator.waiting;
            return waiting.push_back(WaitingCall { arrived_at, second });
        }
        allocator.escrow.end_wait(&acme(), CALL_TOKENS);
    }

    /// Serves the calls that wait, first come, first served, and ends those that waited too long.
    fn serve_waiting(&mut self, index: usize) {
        while let Some(call) = self.allocators[index].waiting.front().copied() {
            let is_late = self.now.since(call.arrived_at) > CALL_WAIT_MS;
            let is_served = !is_late && self.reserve(index);
            if !is_late && !is_served {
                return;
            }
            let allocator = &mut self.allocators[index];
            allocator.waiting.pop_front();
            allocator.escrow.end_wait(&acme(), CALL_TOKENS);
            if is_served {
                self.count_served(index, call.second);
            }
        }
    }

    fn reserve(&mut self, index: usize) -> bool {
        let escrow = &mut self.allocators[index].escrow;
        let outcome = escrow.try_reserve(self.now, &acme(), CALL_TOKENS);
        outcome == ReserveOutcome::Reserved
    }

    fn reserve_by_ledger(&mut self, index: usize) -> bool {
        let now = self.now;
        let escrow = &mut self.allocators[index].escrow;
        escrow.begin_wait(now, &acme(), CALL_TOKENS);
        self.write(index);
        self.borrow_remainders(index);
        self.allocators[index].escrow.end_wait(&acme(), CALL_TOKENS);
        self.reserve(index)
    }

    /// Borrows from the other allocators what they have left if the ledger has too little.
    fn borrow_remainders(&mut self, index: usize) {
        let now = self.now;
        for lender in 0..self.allocators.len() {
            let borrower = &self.allocators[index].escrow;
            let request = borrower.loan_wanted(now, &acme());
            let Some(request) = request.filter(|_| borrower.is_uncovered(&acme())) else {
                return;
            };
            if lender == index {
                continue;
            }
            let lender = &mut self.allocators[lender].escrow;
            lender.record_request(now, &acme(), request);
            if let LoanReply::Lent(tokens) = lender.lend(now, &acme(), request) {
                let borrower = &mut self.allocators[index].escrow;
                borrower.receive(&acme(), request, tokens);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        self.serve_waiting(index);
        if self.now.since(self.allocators[index].written_at) >= WRITE_SPAN_MS {
            self.write(index);
        }
    }

    fn write(&mut self, index: usize) {
        if self.is_store_unavailable {
            return;
        }
        let (now, ledger) = (self.now, self.ledger.clone());
        let allocator = &mut self.allocators[index];
        allocator.escrow.set_clock(ClockBounds {
            earliest: Some(now),
            started: StartBound::By(allocator.started_at),
        });
        allocator.escrow.take_ledger(now, &acme(), ledger, true);
        let Some(change) = allocator.escrow.plan(now, &acme()) else {
            return;
        };
        let next = self.ledger.with_change(allocator.escrow.router(), change);
        self.recovered += self.ledger.recovered_in(&next, change);
        self.ledger = next;
        allocator.escrow.commit(now, &acme(), self.ledger.clone());
        allocator.written_at = now;
    }

    /// Returns the served part of the calls in the seconds from `first` up to `last`.
    fn served(&self, first: u64, last: u64) -> f64 {
        let seconds = self.seconds.range(first..last);
        let (asked, served) = seconds.fold((0, 0), |(asked, served), (_, count)| {
            (asked + count.asked, served + count.served)
        });
        served as f64 / f64::from(u32::try_from(asked).expect("few calls"))
    }
}

/// All routers lose power four times. Unless losses are counted, each new router takes as much as
/// before, although the seconds of demand held at each loss are missing from the ledger, until the
/// losses exceed the surplus of the total. Callers whose prompts are paid for are then refused for
/// good: fewer than one in four was served, with 164 million tokens taken, 20 returned, 103 spent
/// and 41 lost.
#[test]
fn allocators_lost_four_times_leave_enough_for_callers() {
    let mut fleet = LossyFleet::new(DEMAND * 92 * 13 / 10);
    for second in [8, 36, 64, 92] {
        fleet.run_until(second);
        fleet.lose(0..3);
    }
    fleet.run_until(107);
    let (before, after) = (fleet.served(60, 92), fleet.served(94, 107));
    assert!(
        before > 0.95 && after > 0.5,
        "served before {before:.2} and after {after:.2}; lost {} of {} s of demand",
        fleet.lost / DEMAND,
        fleet.prepaid / DEMAND
    );
}

/// All routers lose power four times with half the surplus of the test above: some callers whose
/// prompts are paid for are refused after the last loss. Of the 10 s of demand lost here, most are
/// lost the first time, as no losses are known before it.
#[test]
fn keepers_lost_four_times_with_little_to_spare() {
    let mut fleet = LossyFleet::new(DEMAND * 92 * 23 / 20);
    for second in [8, 36, 64, 92] {
        fleet.run_until(second);
        fleet.lose(0..3);
    }
    fleet.run_until(107);
    let after = fleet.served(94, 107);
    assert!(
        after > 0.25,
        "served after {after:.2}; lost {} of {} s of demand",
        fleet.lost / DEMAND,
        fleet.prepaid / DEMAND
    );
}

/// The ledger is unreachable for 8 s without any losses. The tokens held in advance must serve all
/// callers meanwhile: losses that did not happen may not cost them anything.
#[test]
fn allocators_without_losses_bridge_an_outage() {
    let mut fleet = LossyFleet::new(DEMAND * 120);
    fleet.has_waits = true;
    fleet.run_until(20);
    fleet.is_store_unavailable = true;
    fleet.run_until(28);
    fleet.is_store_unavailable = false;
    fleet.run_until(30);
    let served = fleet.served(20, 30);
    assert!(served > 0.99, "served {served:.2}");
}

/// Only one domain has callers, and some twenty seconds of the total are left when the ledger
/// becomes unreachable for 7 s. If their allocator held no more than 0.3 of the remainder, they
/// would be refused after 4 s, as the allocators of domains without callers hold next to nothing.
#[test]
fn single_domain_bridges_an_outage_near_exhaustion() {
    let mut fleet = LossyFleet::new(DEMAND * 42);
    fleet.has_waits = true;
    fleet.calling = vec![0];
    fleet.run_until(20);
    fleet.is_store_unavailable = true;
    fleet.run_until(27);
    let served = fleet.served(20, 27);
    assert!(served > 0.99, "served {served:.2}");
}

/// Allocators of domains without callers lose only small remainders of the total.
#[test]
fn allocators_without_callers_lose_only_small_remainders() {
    let mut fleet = LossyFleet::new(DEMAND * 120);
    fleet.calling = vec![0];
    fleet.run_until(20);
    fleet.lose([1, 2]);
    let small_remainders = EscrowOptions::default().slack_part * fleet.prepaid as f64 * 2.0 / 3.0;
    assert!(
        (fleet.lost as f64) < small_remainders,
        "lost {}",
        fleet.lost
    );
}

/// Past the loss bound, each further loss takes little. If each took seconds of demand again, calls
/// would finally be refused for good.
#[test]
fn allocators_past_the_loss_bound_lose_little() {
    let mut fleet = LossyFleet::new(DEMAND * 120);
    for round in 1..=2 {
        fleet.run_until(10 * round);
        fleet.lose(0..3);
    }
    // Successors have returned by then what the second loss left.
    fleet.run_until(25);
    let before = fleet.lost - fleet.recovered;
    for round in 3..=6 {
        fleet.run_until(10 * round);
        fleet.lose(0..3);
    }
    fleet.run_until(65);
    let lost = fleet.lost - fleet.recovered - before;
    let each = lost as f64 / 4.0 / DEMAND as f64;
    assert!(each < 1.0, "lost {each:.2} s of demand at each loss");
}

/// However often all allocators are lost, the loss stays near the tolerated part: each loss makes
/// later allocators hold less. Here they are lost every 5 s, which is as soon as they hold the
/// wanted amount.
#[test]
fn repeated_losses_of_allocators_are_bounded() {
    let mut fleet = LossyFleet::new(DEMAND * 120);
    for round in 1..=16 {
        fleet.run_until(5 * round);
        fleet.lose(0..3);
    }
    let part = fleet.lost as f64 / fleet.prepaid as f64;
    assert!(part < 0.4, "lost {part:.2} of the total");
}

/// A restarted process finds the idle tokens in its predecessor's ledger entry. These are lost and
/// counted once: neither the same router's next change nor one of another host adds to them.
#[test]
fn with_change_counts_losses_on_the_same_host() {
    let change = |number, tokens, idle| LedgerChange {
        number,
        transfer: TokenTransfer::Take(tokens),
        idle,
        deferred: None,
        started: StartBound::Unknown,
    };
    let ledger = WorkspaceLedger::default();
    let ledger = ledger.with_change("host-1@10", change(1, 500, 500));
    let ledger = ledger.with_change("host-2@10", change(1, 300, 300));
    let ledger = ledger.with_change("host-1@10", change(2, 200, 400));
    assert_eq!((ledger.taken, ledger.lost), (1_000, 0));
    let ledger = ledger.with_change("host-1@20", change(1, 100, 100));
    let ledger = ledger.with_change("host-2@10", change(2, 100, 100));
    let ledger = ledger.with_change("host-1@20", change(2, 100, 100));
    assert_eq!((ledger.taken, ledger.lost), (1_300, 400));
}

/// Ledgers written before losses were counted can still be read: no loss is known.
#[test]
fn ledger_without_loss_field_is_read() {
    let text = r#"{"taken":70,"writers":[{"router":"host-1@10","number":3}]}"#;
    let ledger: WorkspaceLedger = serde_json::from_str(text).expect("a ledger");
    assert_eq!((ledger.taken, ledger.lost), (70, 0));
    assert!(ledger.has_change("host-1@10", 3));
}

/// An allocator is shut down and has lent all its tokens. Nothing is lost with it, so the next
/// process on its host must find no loss: callers would be served worse in the next outage without
/// need.
#[test]
fn plan_closing_records_empty_holding() {
    let mut fleet = LossyFleet::new(DEMAND * 120);
    fleet.run_until(4);
    let now = fleet.now;
    let allocator = &mut fleet.allocators[0];
    let all = allocator.escrow.free_tokens();
    let request = LoanRequest {
        least: all,
        need: all,
        ahead: 0,
        used: 0,
    };
    assert_eq!(
        allocator.escrow.lend(now, &acme(), request),
        LoanReply::Lent(all)
    );
    allocator.escrow.close();
    assert!(allocator.escrow.has_tokens());
    fleet.write(0);
    assert!(!fleet.allocators[0].escrow.has_tokens());
    fleet.allocators[0] = fleet.start(0);
    fleet.run_until(8);
    assert_eq!(fleet.ledger.lost, 0);
}
