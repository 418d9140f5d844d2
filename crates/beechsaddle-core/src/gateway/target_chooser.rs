//! The `target_chooser` module provides the choice of a target for one attempt.

use std::net::SocketAddr;

use super::target_roster::RosterEntry;
use super::{AttemptLoad, PolicyOptions, PromptShape, TargetRoster};
use crate::clock::ClockTime;
use crate::hash::rendezvous_weight;
use crate::names::{DomainName, ServiceName, TargetName};

/// How much an own pending token counts. Other routers of the domain place by the same rule, so
/// that a target which is loaded here is loaded by them as well.
const PENDING_WEIGHT: f64 = 2.0;

/// What a target of another domain costs more, in tokens: a few milliseconds of reading, for the
/// longer way and its bytes.
const FOREIGN_TOKENS: f64 = 400.0;

/// What a target of another domain costs a stream that runs once, in tokens: as much as twenty running
/// streams. Such a stream cannot go on elsewhere, and where domains lose each other all that cross the
/// cut are lost; above this their callers wait for busy engines of their own domain instead.
const SINGLE_RUN_FOREIGN_TOKENS: f64 = 3_000.0;

/// The least number of shared tokens that one engine gets from another. Below it the setup of a transfer
/// takes as long as reading them.
const LEAST_FETCHED: u64 = 1_000;

/// How long after it came up an engine may still lack parts that it is the place of, in milliseconds: a
/// first choice that was not weighed against others; a transfer of nothing costs its setup.
const NEW_MS: u64 = 20_000;

/// How much a shared token that has to be read again counts against one that has to be waited for.
/// Reading it again takes an engine's time from all other requests, and memory from what it keeps.
const MISS_WEIGHT: f64 = 3.0;

/// How far requests without a place prefer the next in the order of a shared part, in tokens, so
/// that routers that give way to load meet at the same other engine.
const ORDER_TOKENS: f64 = 500.0;

/// What an attempt in flight costs, in tokens: each running request slows all others of a batch.
const ACTIVE_TOKENS: f64 = 150.0;

/// Tokens that an engine reads in a millisecond, used to weigh waiting against reading. Only the
/// order of magnitude matters.
const TOKENS_PER_MS: f64 = 50.0;

/// What a plain target of another domain costs more, in milliseconds of waiting.
const FOREIGN_MS: f64 = 6.0;

/// The wait that is assumed of a plain target without samples, in milliseconds.
const UNKNOWN_SPEED_MS: f64 = 20.0;

/// A share of failures that ordinary errors of a service explain.
const USUAL_FAILURES: f64 = 0.2;

/// How strongly failures beyond that count against a target.
const FAILURE_WEIGHT: f64 = 12.0;

/// What an engine costs that has named a limit, in tokens: as much as reading a long prompt. It is in need, and
/// gets what others cannot take as well.
const LIMITED_TOKENS: f64 = 5_000.0;

/// The same of a plain target, in milliseconds of waiting.
const LIMITED_MS: f64 = 100.0;

/// What it costs to share an engine with a request that may crash it, in tokens: what runs there may have to be
/// run again. Requests that would have more than a few thousand shared tokens read elsewhere stay, as most suspects
/// are none.
const SUSPECT_TOKENS: f64 = 20_000.0;

/// The same of a plain target, in milliseconds of waiting.
const SUSPECT_MS: f64 = 400.0;

/// What is asked of a choice.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Whether its targets are engines.
    pub is_engine: bool,
    /// The router's own domain.
    pub domain: &'a DomainName,
    /// The prompt; empty for plain requests.
    pub prompt: &'a PromptShape,
    /// Spreads plain requests.
    pub request_id: &'a str,
    /// Targets that were tried before.
    pub tried: &'a [TargetName],
    /// Whether the request may run once only.
    pub runs_once: bool,
    /// The name of a request that may crash its target, by which such requests are spread.
    pub suspect: Option<&'a str>,
    /// Switches.
    pub policy: PolicyOptions,
}

/// A chosen target and why.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetChoice {
    /// The target.
    pub target: TargetName,
    /// Its cost, the lowest of all.
    pub cost: f64,
    /// What the attempt puts on it.
    pub load: AttemptLoad,
    /// Whether it is the place of the prompt's shared parts.
    pub is_home: bool,
    /// How many targets were compared.
    pub candidates: usize,
    /// The engine that the target gets shared parts of the prompt from, where it is not their place.
    /// Moving tokens takes a tenth of the time of reading them, in which the engine's other streams pause.
    pub fetch_from: Option<SocketAddr>,
}

/// Chooses a target.
///
/// Requests that share the leading parts of their prompts meet at the same engine, which keeps
/// those parts in memory: there is one engine for each shared part, by rendezvous hashing, so that
/// all routers agree without talking. Another engine is taken when the wait there, with all parts to
/// be read again, is expected to be much shorter. One place for the whole fleet, rather than one in
/// each domain, reads each part a third as often and moves some kilobytes of prompt.
pub fn choose_target(
    roster: &TargetRoster,
    now: ClockTime,
    input: ChoiceInput<'_>,
) -> Option<TargetChoice> {
    let untried: Vec<_> = roster
        .ready(input.service)
        .filter(|entry| !input.tried.contains(&entry.record.name))
        .filter(|entry| entry.gauge.limit.paused_for_ms(now) == 0)
        .collect();
    let mut candidates: Vec<_> = untried
        .iter()
        .copied()
        .filter(|entry| !entry.gauge.is_ejected(now))
        .collect();
    // Ejections are guesses. When all are ejected, the guess is about the way to them, and a try
    // is better than a refusal.
    if candidates.is_empty() {
        candidates = untried;
    }
    let fastest = fastest_ms(&candidates, now);
    let places = PartPlaces::find(&candidates, &input);
    let count = candidates.len();
    candidates
        .iter()
        .map(|entry| weigh(entry, &places, count, now, &input, fastest))
        .min_by(|left, right| left.cost.total_cmp(&right.cost))
}

/// The shortest recent wait among targets, in milliseconds.
fn fastest_ms(candidates: &[&RosterEntry], now: ClockTime) -> f64 {
    candidates
        .iter()
        .filter_map(|entry| entry.gauge.speed_ms(now))
        .fold(f64::INFINITY, f64::min)
}

fn weigh(
    entry: &RosterEntry,
    places: &PartPlaces<'_>,
    candidates: usize,
    now: ClockTime,
    input: &ChoiceInput<'_>,
    fastest: f64,
) -> TargetChoice {
    let is_home = places.is_first(entry);
    let is_foreign = entry.record.domain != *input.domain;
    let failures = (entry.gauge.failure_share(now) - USUAL_FAILURES).max(0.0);
    let load = match is_home {
        true => input.prompt.own_tokens(),
        false => input.prompt.own_tokens() + input.prompt.shared_tokens(),
    };
    let missed = if is_home {
        0
    } else {
        input.prompt.shared_tokens()
    };
    let waiting = match input.is_engine {
        true => {
            engine_cost(entry, now, foreign_tokens(entry, input), fastest)
                + missed as f64 * MISS_WEIGHT
        }
        false => plain_cost(entry, now, is_foreign),
    };
    let usual = waiting * (1.0 + FAILURE_WEIGHT * failures)
        + order_cost(entry, input)
        + entry.record.cold_ms as f64 * 0.1
        + suspects_cost(entry, input)
        + limit_cost(entry, input);
    let cost = match input.suspect {
        Some(name) => lone_cost(entry, name),
        None => usual,
    };
    TargetChoice {
        target: entry.record.name.clone(),
        cost,
        load: AttemptLoad {
            prefill_tokens: load,
        },
        is_home,
        candidates,
        fetch_from: fetch_source(entry, places, now, input),
    }
}

/// What it costs to use a target that has named a limit.
fn limit_cost(entry: &RosterEntry, input: &ChoiceInput<'_>) -> f64 {
    match entry.gauge.limit.in_force() {
        Some(_) if input.is_engine => LIMITED_TOKENS,
        Some(_) => LIMITED_MS,
        None => 0.0,
    }
}

/// What it costs to share a target with requests that may crash it.
fn suspects_cost(entry: &RosterEntry, input: &ChoiceInput<'_>) -> f64 {
    let each = match input.is_engine {
        true => SUSPECT_TOKENS,
        false => SUSPECT_MS,
    };
    entry.gauge.suspects as f64 * each
}

/// The cost of a target for a request that may crash it: what would end with it. Requests that are suspected
/// together go to different targets, so that the next crash tells which of them it was.
fn lone_cost(entry: &RosterEntry, suspect: &str) -> f64 {
    entry.gauge.active as f64 + unit_weight(suspect, entry.record.name.as_str())
}

/// The cost of an engine, in tokens to be read before the first event.
fn engine_cost(entry: &RosterEntry, now: ClockTime, foreign: f64, fastest: f64) -> f64 {
    let gauge = &entry.gauge;
    let pending = gauge.pending_tokens as f64 * PENDING_WEIGHT;
    let active = gauge.active as f64 * ACTIVE_TOKENS;
    let lag = gauge
        .speed_ms(now)
        .map_or(0.0, |speed| (speed - fastest).max(0.0) * TOKENS_PER_MS);
    pending + active + foreign + lag
}

/// What the way to an engine costs, in tokens.
fn foreign_tokens(entry: &RosterEntry, input: &ChoiceInput<'_>) -> f64 {
    let stays_near = input.runs_once && input.policy.keeps_single_runs_near;
    match entry.record.domain == *input.domain {
        true => 0.0,
        false if stays_near => SINGLE_RUN_FOREIGN_TOKENS,
        false => FOREIGN_TOKENS,
    }
}

/// Decides between targets that cost about the same: by the order of the shared part, or by chance.
fn order_cost(entry: &RosterEntry, input: &ChoiceInput<'_>) -> f64 {
    let name = entry.record.name.as_str();
    match input.prompt.shared_id() {
        Some(shared) => ORDER_TOKENS * (1.0 - unit_weight(shared, name)),
        None => unit_weight(input.request_id, name),
    }
}

/// The rendezvous weight from 0 to 1.
fn unit_weight(name: &str, member: &str) -> f64 {
    rendezvous_weight(name, member) as f64 / u64::MAX as f64
}

/// The cost of a plain target, in milliseconds of waiting.
fn plain_cost(entry: &RosterEntry, now: ClockTime, is_foreign: bool) -> f64 {
    let speed = entry.gauge.speed_ms(now).unwrap_or(UNKNOWN_SPEED_MS);
    let foreign = if is_foreign { FOREIGN_MS } else { 0.0 };
    let slots = entry.record.slots.max(1) as f64;
    let busy = entry.gauge.active as f64 * PENDING_WEIGHT;
    speed * (1.0 + busy / slots) + foreign
}

/// The engine that a target gets the prompt's shared parts from, if they are worth a transfer.
///
/// That is the place of the parts. The place itself, where it has just come up, gets them from the next
/// in their order, which was their place until then.
fn fetch_source(
    entry: &RosterEntry,
    places: &PartPlaces<'_>,
    now: ClockTime,
    input: &ChoiceInput<'_>,
) -> Option<SocketAddr> {
    let is_worth = input.is_engine && input.prompt.shared_tokens() >= LEAST_FETCHED;
    if !is_worth || !input.policy.fetches_parts {
        return None;
    }
    let source = match places.is_first(entry) {
        true if entry.is_new(now, NEW_MS) => places.second,
        true => None,
        false => places.first,
    };
    source.map(|source| source.record.address)
}

/// The two engines that come first in the order of a prompt's shared part: its place, and the engine that
/// is its place where the first is missing.
struct PartPlaces<'a> {
    first: Option<&'a RosterEntry>,
    second: Option<&'a RosterEntry>,
}

impl<'a> PartPlaces<'a> {
    fn find(candidates: &[&'a RosterEntry], input: &ChoiceInput<'_>) -> Self {
        let mut places = PartPlaces {
            first: None,
            second: None,
        };
        let Some(shared) = input.prompt.shared_id() else {
            return places;
        };
        let (mut most, mut more) = (0, 0);
        // An engine that takes few requests cannot be the place of what many share.
        let is_limited = |entry: &RosterEntry| entry.gauge.limit.in_force().is_some();
        let all_limited = candidates.iter().all(|entry| is_limited(entry));
        for &entry in candidates {
            if is_limited(entry) && !all_limited {
                continue;
            }
            let weight = rendezvous_weight(shared, entry.record.name.as_str());
            if places.first.is_none() || weight > most {
                (places.second, more) = (places.first, most);
                (places.first, most) = (Some(entry), weight);
            } else if places.second.is_none() || weight > more {
                (places.second, more) = (Some(entry), weight);
            }
        }
        places
    }

    /// Whether a target is the place of the prompt's shared parts.
    fn is_first(&self, entry: &RosterEntry) -> bool {
        self.first
            .is_some_and(|first| first.record.name == entry.record.name)
    }
}
