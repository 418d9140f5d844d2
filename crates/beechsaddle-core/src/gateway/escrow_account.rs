//! The `escrow_account` module provides what a router holds and wants of one workspace.

use std::collections::BTreeMap;

use super::deferred_change::PendingChange;
use super::demand_peak::DemandPeak;
use super::{BudgetLedger, DemandRate, EscrowFacts, EscrowOptions, EscrowRole, TokenTransfer};
use crate::clock::ClockTime;

/// How fast demand is forgotten, in milliseconds.
const DEMAND_HALF_LIFE_MS: u64 = 5_000;

/// How long the word of a keeper counts that a total does not cover a request, in milliseconds. The
/// total may be raised at any moment.
const EXHAUSTED_MS: u64 = 1_000;

/// How old a ledger may be that a refusal for good rests on, in milliseconds: it is read again
/// several times in this span.
const LEDGER_FRESH_MS: u64 = 2_500;

/// What a router holds of one workspace.
#[derive(Clone, Debug)]
pub(super) struct EscrowAccount {
    /// The total; `None` where nothing is counted.
    pub(super) prepaid: Option<u64>,
    /// Where its tokens come from.
    pub(super) role: EscrowRole,
    /// Tokens that are not promised and may be used now.
    pub(super) free: u64,
    /// Tokens that are not promised and not used yet.
    pub(super) deferred: u64,
    /// When the last change was made that is known to be in the ledger.
    pub(super) marked_at: ClockTime,
    /// What died with processes before this one on its host and is not counted as lost yet.
    pub(super) died_before: u64,
    /// Tokens on their way back to the keeper.
    pub(super) returning: u64,
    /// What the ledger was last told to be held here.
    pub(super) told: u64,
    /// The ledger as it was last seen.
    pub(super) ledger: Option<BudgetLedger>,
    /// The change whose outcome is not known yet.
    pub(super) pending: Option<PendingChange>,
    /// How many routers keep the workspace.
    pub(super) keepers: u64,
    /// How many routers there are.
    pub(super) routers: u64,
    /// Whether everything is to be given back.
    pub(super) is_closing: bool,
    /// The average demand.
    pub(super) demand: DemandRate,
    /// Whether little is left of the total.
    pub(super) is_scarce: bool,
    /// What calls of a borrower used beyond what the keeper was told, in tokens. A keeper knows its own demand
    /// and tells nobody.
    pub(super) untold: i64,
    /// What all routers took of the total, as it was last seen here or told by the keeper.
    seen_taken: Option<u64>,
    reserved: u64,
    awaited: BTreeMap<u64, u32>,
    uncovered_since: Option<ClockTime>,
    ledger_at: ClockTime,
    exhausted: Option<ExhaustedWord>,
    largest: DemandPeak,
}

/// A keeper's word that the total does not cover a request.
#[derive(Clone, Copy, Debug)]
struct ExhaustedWord {
    tokens: u64,
    noted_at: ClockTime,
}

impl EscrowAccount {
    /// An account of a router that does not know yet whether it keeps the workspace.
    pub(super) fn new(now: ClockTime) -> Self {
        EscrowAccount {
            prepaid: None,
            role: EscrowRole::Borrower,
            free: 0,
            deferred: 0,
            marked_at: now,
            died_before: 0,
            returning: 0,
            told: 0,
            ledger: None,
            pending: None,
            keepers: 1,
            routers: 1,
            is_closing: false,
            reserved: 0,
            awaited: BTreeMap::new(),
            is_scarce: false,
            untold: 0,
            seen_taken: None,
            uncovered_since: None,
            ledger_at: now,
            exhausted: None,
            largest: DemandPeak::new(DEMAND_HALF_LIFE_MS),
            demand: DemandRate::new(DEMAND_HALF_LIFE_MS, now),
        }
    }

    /// Takes over the total.
    pub(super) fn set_prepaid(&mut self, prepaid: Option<u64>, options: &EscrowOptions) {
        if self.prepaid != prepaid {
            self.prepaid = prepaid;
            self.uncovered_since = None;
            self.exhausted = None;
            self.note_scarcity(options);
        }
    }

    /// Takes over the ledger as it was read or written.
    pub(super) fn set_ledger(
        &mut self,
        now: ClockTime,
        ledger: BudgetLedger,
        options: &EscrowOptions,
    ) {
        let left = self.left();
        self.ledger_at = now;
        self.seen_taken = Some(ledger.taken);
        self.ledger = Some(ledger);
        // Somebody gave back: what did not fit may fit now.
        if self.left() > left {
            self.uncovered_since = None;
        }
        self.note_scarcity(options);
    }

    /// Takes over what all routers took, as the keeper tells it.
    pub(super) fn note_taken(&mut self, taken: u64, options: &EscrowOptions) {
        self.seen_taken = Some(taken);
        self.note_scarcity(options);
    }

    /// Promises tokens to a call.
    pub(super) fn reserve(&mut self, now: ClockTime, tokens: u64) {
        self.free -= tokens;
        self.reserved += tokens;
        self.note_untold(tokens as i64);
        self.note_use(now, tokens as f64);
        self.note_peak(now, tokens);
    }

    /// Ends a promise; `used` of it are spent.
    pub(super) fn settle(&mut self, now: ClockTime, reserved: u64, used: u64) {
        self.reserved = self.reserved.saturating_sub(reserved);
        let unused = reserved.saturating_sub(used);
        self.free += unused;
        self.note_untold(-(unused as i64));
        self.note_use(now, -(unused as f64));
    }

    /// Takes over where the tokens come from; tells whether that is a change.
    pub(super) fn set_role(&mut self, role: EscrowRole) -> bool {
        let is_changed = std::mem::replace(&mut self.role, role) != role;
        if is_changed {
            // Another router keeps the workspace now, or none: what was used before is no news to it.
            self.untold = 0;
        }
        is_changed
    }

    /// Notes what calls use of a borrower, or less than zero for what the keeper was told.
    pub(super) fn note_untold(&mut self, tokens: i64) {
        if self.role == EscrowRole::Borrower {
            self.untold += tokens;
        }
    }

    /// A call waits for tokens.
    pub(super) fn begin_wait(&mut self, now: ClockTime, tokens: u64) {
        *self.awaited.entry(tokens).or_default() += 1;
        self.note_peak(now, tokens);
    }

    /// A call waits no more.
    pub(super) fn end_wait(&mut self, tokens: u64) {
        if let Some(count) = self.awaited.get_mut(&tokens) {
            *count -= 1;
            if *count == 0 {
                self.awaited.remove(&tokens);
            }
        }
    }

    /// Tokens that calls wait for.
    pub(super) fn awaited(&self) -> u64 {
        let awaited = self.awaited.iter();
        awaited
            .map(|(tokens, count)| tokens * u64::from(*count))
            .sum()
    }

    /// Tokens that calls wait for, the smallest first, as far as `limit` covers whole calls.
    ///
    /// Taking a rest that covers no call would keep it from smaller calls elsewhere, and giving it
    /// back would look as if something had become free.
    pub(super) fn awaited_within(&self, limit: u64) -> u64 {
        let mut sum = 0_u64;
        for (tokens, count) in &self.awaited {
            let room = limit.saturating_sub(sum) / (*tokens).max(1);
            let fitting = u64::from(*count).min(room);
            sum += tokens * fitting;
            if fitting < u64::from(*count) {
                break;
            }
        }
        sum
    }

    /// The smallest request that waits.
    pub(super) fn least_awaited(&self) -> Option<u64> {
        self.awaited.keys().next().copied()
    }

    /// Whether calls wait for more than is here.
    pub(super) fn is_waiting(&self) -> bool {
        self.awaited() > self.free
    }

    /// Whether the smallest request that waits fits neither what is here nor what nobody has taken: only other
    /// keepers can help.
    pub(super) fn outgrows_ledger(&self) -> bool {
        let least = self.least_awaited().unwrap_or(0);
        let left = self.left();
        left.is_some_and(|left| left.saturating_add(self.held()) < least)
    }

    /// Whether the ledger should be asked at once.
    pub(super) fn asks_ledger(&self) -> bool {
        let is_asked = self.is_waiting() && self.role == EscrowRole::Keeper;
        is_asked || (self.is_closing && self.has_tokens())
    }

    /// Whether tokens are held and not promised, or on their way, or the ledger was told so.
    pub(super) fn has_tokens(&self) -> bool {
        self.held() > 0 || self.returning > 0 || self.told > 0
    }

    /// Whether others may need what is given back here.
    pub(super) fn is_missed(&self, now: ClockTime, options: &EscrowOptions) -> bool {
        let transfer = self.next_transfer(now, options);
        self.is_scarce && matches!(transfer, Some(TokenTransfer::GiveBack(_)))
    }

    /// Notes a keeper's word that the total does not cover a request.
    pub(super) fn note_exhausted(&mut self, now: ClockTime, tokens: u64) {
        self.exhausted = Some(ExhaustedWord {
            tokens,
            noted_at: now,
        });
    }

    /// Whether the fleet's remainder certainly does not cover a request.
    ///
    /// Other routers may still hold some. Near the end they notice within a second and give it back;
    /// only a request that still does not fit after that is refused for good.
    pub(super) fn is_exhausted(
        &mut self,
        now: ClockTime,
        tokens: u64,
        options: &EscrowOptions,
    ) -> bool {
        let is_told = self
            .exhausted
            .is_some_and(|word| now.since(word.noted_at) < EXHAUSTED_MS && tokens >= word.tokens);
        let fits = self
            .left()
            .is_none_or(|left| left.saturating_add(self.held()) >= tokens);
        if is_told || fits || self.role == EscrowRole::Borrower {
            return is_told;
        }
        // While the ledger is out of reach nobody knows what others gave back.
        if now.since(self.ledger_at) > LEDGER_FRESH_MS {
            self.uncovered_since = None;
            return false;
        }
        let since = *self.uncovered_since.get_or_insert(now);
        now.since(since) >= options.give_back_ms
    }

    /// Notes tokens that calls use here or at borrowers; below zero where they use less than was noted.
    pub(super) fn note_use(&mut self, now: ClockTime, tokens: f64) {
        self.demand.add(now, tokens);
    }

    /// How many tokens to borrow beyond what calls wait for.
    pub(super) fn borrow_ahead(&self, now: ClockTime, options: &EscrowOptions) -> u64 {
        (self.demand.per_second(now).max(0.0) * options.borrow_s) as u64
    }

    /// What is held and known.
    pub(super) fn facts(&self, now: ClockTime) -> EscrowFacts {
        let has_ledger = self.ledger.is_some();
        EscrowFacts {
            role: self.role,
            free: self.held(),
            reserved: self.reserved,
            left: self.left(),
            ledger_age_ms: has_ledger.then(|| now.since(self.ledger_at)),
        }
    }

    /// What all routers took of the total; `None` while that is not known. A keeper goes by the ledger
    /// that it writes.
    pub(super) fn taken(&self) -> Option<u64> {
        match self.role {
            EscrowRole::Keeper => self.ledger.as_ref().map(|ledger| ledger.taken),
            EscrowRole::Borrower => self.seen_taken,
        }
    }

    /// Tokens that nobody has taken; `None` while that is not known.
    pub(super) fn left(&self) -> Option<u64> {
        Some(self.prepaid?.saturating_sub(self.taken()?))
    }

    /// Whether tokens move between this router and the ledger. A borrower's move between it and the keeper,
    /// unless the ledger was told that some are held here: that has to be taken back where it was told.
    pub(super) fn uses_ledger(&self) -> bool {
        self.role == EscrowRole::Keeper || self.told > 0
    }

    /// Whether the ledger has to be read.
    pub(super) fn needs_ledger(&self) -> bool {
        let is_counted = self.prepaid.is_some() && self.ledger.is_none();
        let has_use = !self.is_closing || self.held() > 0;
        is_counted && has_use && self.role == EscrowRole::Keeper
    }

    /// The largest recent request, in tokens.
    pub(super) fn largest_at(&self, now: ClockTime) -> u64 {
        self.largest.tokens_at(now)
    }

    pub(super) fn note_peak(&mut self, now: ClockTime, tokens: u64) {
        self.largest.note(now, tokens);
    }

    fn note_scarcity(&mut self, options: &EscrowOptions) {
        if let (Some(prepaid), Some(left)) = (self.prepaid, self.left()) {
            self.is_scarce = (left as f64) < prepaid as f64 * options.scarce_part;
        }
    }

    /// Whether the total is nearly used up.
    pub(super) fn is_scarce(&self) -> bool {
        self.is_scarce
    }
}
