//! The `urgency_reserve` module provides the decision which calls of a workspace get its tokens
//! while there are too few for all of them.
//!
//! Tokens that more urgent calls will need are kept from less urgent ones. How many that are
//! follows from what calls of each urgency asked for lately, and from how long the tokens have to
//! last.

use std::collections::BTreeMap;

use super::{CallUrgency, DemandRate, EscrowOptions};
use crate::clock::ClockTime;

/// Half-life of the average demand, in milliseconds, as of the demand by which tokens are held.
const DEMAND_HALF_LIFE_MS: u64 = 5_000;

/// Half-life of the usual demand, in milliseconds: long compared to a burst, which would raise the
/// floor of its own calls otherwise.
const USUAL_HALF_LIFE_MS: u64 = 30_000;

/// How long a level that an allocator sent is used, in milliseconds. What is left changes by a
/// small part in this span, and a new level costs a loan request.
const LEVEL_VALID_MS: u64 = 2_000;

/// The cover from which all calls are admitted. At a cover of 1, the more urgent calls and the floor
/// of an urgency need all tokens.
const FULL_COVER: f64 = 2.0;

/// The seconds of its floor that an urgency may save up. Larger calls than that are admitted once
/// their floor has grown to their size.
const FLOOR_SAVED_S: f64 = 4.0;

/// The tokens of a workspace that an allocator can spend, and how long they have to last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenSupply {
    /// Tokens that calls may use now.
    pub free: u64,
    /// Unreserved tokens, free and deferred.
    pub held: u64,
    /// Tokens of the total that no router has taken; `None` until they are known.
    pub left: Option<u64>,
    /// How long the ledger has been unreachable, in milliseconds; `None` while it is not.
    pub outage_ms: Option<u64>,
    /// The number of domains whose callers use the total.
    pub domains: u64,
}

impl TokenSupply {
    /// Returns the amounts that have to last, each with its span in seconds of one domain's demand.
    fn spans(&self, options: &EscrowOptions) -> impl Iterator<Item = SupplySpan> + use<> {
        let outage_s = self.outage_ms.map(|age_ms| age_ms as f64 / 1_000.0);
        let next = outage_s.map(|_| SupplySpan {
            tokens: self.free,
            demand_s: options.open_s,
        });
        let outage = outage_s.map(|age_s| SupplySpan {
            tokens: self.held,
            demand_s: (options.hold_s - age_s).max(options.open_s),
        });
        let total = self.left.map(|left| SupplySpan {
            tokens: left.saturating_add(self.held),
            demand_s: options.reserve_s * self.domains.max(1) as f64,
        });
        next.into_iter().chain(outage).chain(total)
    }
}

/// Tokens and the seconds of demand that they have to cover.
#[derive(Clone, Copy, Debug)]
struct SupplySpan {
    tokens: u64,
    demand_s: f64,
}

/// A level of an urgency, as an allocator told it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UrgencyLevel {
    pub urgency: CallUrgency,
    /// The part of the calls that is admitted, from 0 to 1.
    pub admitted: f64,
}

/// What calls of one urgency need, as a borrower tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UrgencyNeed {
    pub urgency: CallUrgency,
    /// The smallest loan that helps one of them; 0 if none waits.
    pub least: u64,
    /// Tokens that they wait for.
    pub need: u64,
    /// Tokens that they asked for since the last report, less what they did not use.
    pub used: i64,
}

/// The demand and the admission of one urgency.
#[derive(Clone, Debug)]
struct UrgencyRank {
    demand: DemandRate,
    usual: DemandRate,
    unreported: i64,
    credit: f64,
    floor: f64,
    floor_at: ClockTime,
    told: Option<(f64, ClockTime)>,
    waiting: BTreeMap<u64, u32>,
}

impl UrgencyRank {
    fn per_second(&self, now: ClockTime) -> f64 {
        self.demand.per_second(now).max(0.0)
    }

    fn usual_per_second(&self, now: ClockTime) -> f64 {
        self.usual.per_second(now).max(0.0)
    }

    /// Adds what the floor has grown by since it was last looked at. It holds a request of `largest`
    /// tokens at least, however few there are.
    fn update_floor(&mut self, now: ClockTime, largest: f64, options: &EscrowOptions) {
        let floor_per_s = self.usual_per_second(now) * options.floor_part;
        let span_s = now.since(self.floor_at) as f64 / 1_000.0;
        let floor_max = (floor_per_s * FLOOR_SAVED_S).max(largest);
        self.floor = (self.floor + floor_per_s * span_s).min(floor_max);
        self.floor_at = now;
    }

    /// Returns the part of the calls that is admitted at least, in a burst too.
    fn floor_level(&self, now: ClockTime, options: &EscrowOptions) -> f64 {
        let demand = self.per_second(now).max(1.0);
        options.floor_part * (self.usual_per_second(now) / demand).min(1.0)
    }

    fn awaited(&self) -> u64 {
        let waiting = self.waiting.iter();
        waiting
            .map(|(tokens, count)| tokens * u64::from(*count))
            .sum()
    }

    fn least_awaited(&self) -> u64 {
        self.waiting.keys().next().copied().unwrap_or(0)
    }

    fn told_at(&self, now: ClockTime) -> Option<f64> {
        let (level, heard_at) = self.told?;
        (now.since(heard_at) < LEVEL_VALID_MS).then_some(level)
    }
}

/// The reserve of a workspace for its more urgent calls.
#[derive(Clone, Debug, Default)]
pub struct UrgencyReserve {
    ranks: BTreeMap<CallUrgency, UrgencyRank>,
    initial_credit: f64,
}

impl UrgencyReserve {
    /// Creates a reserve without demand. `initial_credit`, from 0 to 1, differs between routers:
    /// if each admitted its first call, a fleet of many routers would admit more than its level.
    pub fn new(initial_credit: f64) -> Self {
        UrgencyReserve {
            ranks: BTreeMap::new(),
            initial_credit: initial_credit.clamp(0.0, 1.0),
        }
    }

    /// Records tokens that calls asked for, whether or not they get them; negative for those that
    /// they did not use.
    pub fn record_asked(
        &mut self,
        now: ClockTime,
        urgency: CallUrgency,
        tokens: i64,
        options: &EscrowOptions,
    ) {
        let rank = self.rank_mut(now, urgency);
        rank.update_floor(now, tokens.max(0) as f64, options);
        rank.demand.add(now, tokens as f64);
        rank.usual.add(now, tokens as f64);
    }

    /// Records tokens that calls of a borrower asked for, to be told to its allocator.
    pub fn record_unreported(&mut self, now: ClockTime, urgency: CallUrgency, tokens: i64) {
        self.rank_mut(now, urgency).unreported += tokens;
    }

    /// Registers a call that waits for tokens.
    pub fn begin_wait(&mut self, now: ClockTime, urgency: CallUrgency, tokens: u64) {
        let rank = self.rank_mut(now, urgency);
        *rank.waiting.entry(tokens).or_default() += 1;
    }

    /// Removes a waiting call.
    pub fn end_wait(&mut self, urgency: CallUrgency, tokens: u64) {
        let rank = self.ranks.get_mut(&urgency);
        let waiting = rank.map(|rank| &mut rank.waiting);
        if let Some(waiting) = waiting
            && let Some(count) = waiting.get_mut(&tokens)
        {
            *count -= 1;
            if *count == 0 {
                waiting.remove(&tokens);
            }
        }
    }

    /// Returns the tokens that calls of this urgency and more urgent ones wait for.
    pub fn awaited_up_to(&self, urgency: CallUrgency) -> u64 {
        let ranks = self.ranks.range(..=urgency);
        ranks.map(|(_, rank)| rank.awaited()).sum()
    }

    /// Returns the tokens that more urgent calls wait for.
    pub fn awaited_before(&self, urgency: CallUrgency) -> u64 {
        let ranks = self.ranks.range(..urgency);
        ranks.map(|(_, rank)| rank.awaited()).sum()
    }

    /// Returns the urgency of the most urgent calls that wait.
    pub fn most_urgent_waiting(&self) -> Option<CallUrgency> {
        let mut waiting = self.ranks.iter().filter(|(_, rank)| rank.awaited() > 0);
        waiting.next().map(|(urgency, _)| *urgency)
    }

    /// Returns the needs to tell to a lender, less `free` tokens, which the most urgent waiting
    /// calls get.
    pub fn needs(&self, free: u64) -> Vec<UrgencyNeed> {
        let mut free = free;
        let mut needs = Vec::new();
        for (urgency, rank) in &self.ranks {
            let awaited = rank.awaited();
            let need = awaited.saturating_sub(free);
            let least = rank.least_awaited().saturating_sub(free);
            free = free.saturating_sub(awaited);
            needs.push(UrgencyNeed {
                urgency: *urgency,
                least: least.min(need),
                need,
                used: rank.unreported,
            });
        }
        needs
    }

    /// Returns how many of the tokens that a borrower needs it may get, the most urgent ones first.
    pub fn grant_needs(
        &mut self,
        now: ClockTime,
        needs: &[UrgencyNeed],
        supply: &TokenSupply,
        options: &EscrowOptions,
    ) -> u64 {
        let mut sorted = needs.to_vec();
        sorted.sort_by_key(|need| need.urgency);
        let mut rest = *supply;
        let mut granted = 0;
        for need in sorted.iter().filter(|need| need.need > 0) {
            let spare = self.spare(now, need.urgency, &rest, options);
            let lent = match spare >= need.least {
                true => spare.min(need.need),
                false if self.try_grant(now, need.urgency, need.least, &rest, options) => {
                    need.least.min(rest.free)
                }
                false => 0,
            };
            granted += lent;
            rest.free -= lent;
            rest.held = rest.held.saturating_sub(lent);
        }
        granted
    }

    /// Records that needs were told to the allocator of the own domain.
    pub fn finish_report(&mut self, needs: &[UrgencyNeed]) {
        for need in needs {
            if let Some(rank) = self.ranks.get_mut(&need.urgency) {
                rank.unreported -= need.used;
            }
        }
    }

    /// Records the levels that an allocator told.
    pub fn record_levels(&mut self, now: ClockTime, levels: &[UrgencyLevel]) {
        for level in levels {
            self.rank_mut(now, level.urgency).told = Some((level.admitted.clamp(0.0, 1.0), now));
        }
    }

    /// Returns the level that an allocator told for an urgency, if it is not too old.
    pub fn told_level(&self, now: ClockTime, urgency: CallUrgency) -> Option<f64> {
        self.ranks.get(&urgency)?.told_at(now)
    }

    /// Returns the part of an urgency's calls that is admitted.
    pub fn level(
        &self,
        now: ClockTime,
        urgency: CallUrgency,
        supply: &TokenSupply,
        options: &EscrowOptions,
    ) -> f64 {
        let Some(least_per_s) = self.reserved_per_second(now, urgency, options) else {
            return 1.0;
        };
        let covers = supply
            .spans(options)
            .map(|span| span.tokens as f64 / (least_per_s * span.demand_s).max(1.0));
        let cover = covers.fold(FULL_COVER, f64::min);
        let ramp = (cover - 1.0).clamp(0.0, 1.0) / (FULL_COVER - 1.0);
        let rank = self.ranks.get(&urgency);
        let floor = rank.map_or(options.floor_part, |rank| rank.floor_level(now, options));
        floor + (1.0 - floor) * ramp
    }

    /// Returns the levels of all urgencies that asked for tokens.
    pub fn levels(
        &self,
        now: ClockTime,
        supply: &TokenSupply,
        options: &EscrowOptions,
    ) -> Vec<UrgencyLevel> {
        let levels = self.ranks.keys().map(|urgency| UrgencyLevel {
            urgency: *urgency,
            admitted: self.level(now, *urgency, supply, options),
        });
        levels.collect()
    }

    /// Returns the tokens that calls of an urgency may take without those that more urgent ones
    /// need.
    pub fn spare(
        &self,
        now: ClockTime,
        urgency: CallUrgency,
        supply: &TokenSupply,
        options: &EscrowOptions,
    ) -> u64 {
        let reserved_per_s = self.reserved_per_second(now, urgency, options);
        let reserved_per_s = reserved_per_s.unwrap_or(0.0);
        let spans = supply.spans(options);
        let spares = spans.map(|span| {
            let reserved = (reserved_per_s * span.demand_s) as u64;
            span.tokens.saturating_sub(reserved)
        });
        spares.fold(supply.free, u64::min)
    }

    /// Whether tokens may be given to calls of an urgency: as spare ones, or as part of its floor,
    /// from which they are deducted.
    pub fn try_grant(
        &mut self,
        now: ClockTime,
        urgency: CallUrgency,
        tokens: u64,
        supply: &TokenSupply,
        options: &EscrowOptions,
    ) -> bool {
        if tokens <= self.spare(now, urgency, supply, options) {
            return true;
        }
        let rank = self.rank_mut(now, urgency);
        rank.update_floor(now, tokens as f64, options);
        let is_within_floor = rank.floor >= tokens as f64;
        if is_within_floor {
            rank.floor -= tokens as f64;
        }
        is_within_floor
    }

    /// Whether a call is admitted at a level. Of many calls, that part is.
    pub fn admits(&mut self, now: ClockTime, urgency: CallUrgency, level: f64) -> bool {
        let rank = self.rank_mut(now, urgency);
        rank.credit += level;
        let is_admitted = rank.credit >= 1.0;
        if is_admitted {
            rank.credit -= 1.0;
        }
        is_admitted
    }

    /// Returns what calls more urgent than `urgency` ask for, and its own floor, in tokens per
    /// second; `None` if there are no such calls.
    fn reserved_per_second(
        &self,
        now: ClockTime,
        urgency: CallUrgency,
        options: &EscrowOptions,
    ) -> Option<f64> {
        let more_urgent = self.ranks.range(..urgency);
        let urgent_per_s: f64 = more_urgent.map(|(_, rank)| rank.per_second(now)).sum();
        if urgent_per_s <= 0.0 {
            return None;
        }
        let rank = self.ranks.get(&urgency);
        let usual_per_s = rank.map_or(0.0, |rank| rank.usual_per_second(now));
        Some(urgent_per_s + options.floor_part * usual_per_s)
    }

    fn rank_mut(&mut self, now: ClockTime, urgency: CallUrgency) -> &mut UrgencyRank {
        let credit = self.initial_credit;
        self.ranks.entry(urgency).or_insert_with(|| UrgencyRank {
            demand: DemandRate::new(DEMAND_HALF_LIFE_MS, now),
            usual: DemandRate::new(USUAL_HALF_LIFE_MS, now),
            unreported: 0,
            credit,
            floor: 0.0,
            floor_at: now,
            told: None,
            waiting: BTreeMap::new(),
        })
    }
}
