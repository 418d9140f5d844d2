//! The `target_chooser` module provides the choice of a target for an attempt.

use std::net::SocketAddr;

use super::speed_plan::{PlaceRank, SpeedPlan};
use super::target_roster::RosterEntry;
use super::{AttemptLoad, ChoiceInput, SpeedStep, TargetRoster};
use crate::clock::ClockTime;
use crate::hash::rendezvous_weight;
use crate::names::TargetName;

/// The weight of this router's own pending tokens. Other routers of the domain choose by the same
/// rule, so a target that is loaded by this router is loaded by them as well.
const PENDING_WEIGHT: f64 = 2.0;

/// Cost of a target of another domain, in tokens: a few milliseconds of processing, for the longer
/// path and its bytes.
const FOREIGN_TOKENS: f64 = 400.0;

/// Cost of a target of another domain for a stream that runs once, in tokens: as much as twenty
/// running streams. Such a stream cannot continue elsewhere, and when domains are partitioned all
/// streams between them are lost. Beyond this cost, the alternative is to wait for busy engines of
/// the own domain.
const SINGLE_RUN_FOREIGN_TOKENS: f64 = 3_000.0;

/// The least number of shared tokens that one engine fetches from another. With fewer, the setup of
/// a transfer takes as long as processing them.
const FETCH_MIN_TOKENS: u64 = 1_000;

/// How long after its start an engine may still lack the parts that it is the affinity target of,
/// in milliseconds. A transfer of nothing costs its setup.
const NEW_ENGINE_MS: u64 = 20_000;

/// The weight of a shared token that has to be processed again, relative to one that has to be
/// waited for. Processing it takes engine time from all other requests, and memory from the
/// engine's cache.
const MISS_WEIGHT: f64 = 3.0;

/// The preference of requests away from their affinity target for the next engine in the order of a
/// shared part, in tokens, so that routers that avoid a loaded affinity target select the same
/// alternative.
const ORDER_TOKENS: f64 = 500.0;

/// Cost of an attempt in flight, in tokens: each running request slows all others of a batch.
pub(super) const ACTIVE_TOKENS: f64 = 150.0;

/// Tokens that an engine processes in a millisecond, for weighing waiting against processing. Only
/// the order of magnitude matters.
const TOKENS_PER_MS: f64 = 50.0;

/// Cost of a cold target for each millisecond that it stays cold, in tokens or in milliseconds of
/// waiting: a target with a slow start of some seconds is as costly as one with a few requests.
const COLD_TOKENS_PER_MS: f64 = 0.1;

/// Cost of a plain target of another domain, in milliseconds of waiting.
const FOREIGN_MS: f64 = 6.0;

/// The wait assumed for a plain target without samples, in milliseconds.
const UNKNOWN_SPEED_MS: f64 = 20.0;

/// The failure share that ordinary errors of a service explain.
const BASELINE_FAILURE_SHARE: f64 = 0.2;

/// The weight of failures beyond that share.
const FAILURE_WEIGHT: f64 = 12.0;

/// Cost of an engine that has announced a limit, in tokens: as much as processing a long prompt. It
/// is short of capacity, and also receives what others cannot take.
const LIMITED_TOKENS: f64 = 5_000.0;

/// Cost of a plain target that has announced a limit, in milliseconds of waiting.
const LIMITED_MS: f64 = 100.0;

/// Cost of sharing an engine with a request that may crash it, in tokens, as its running requests
/// may have to be repeated. Requests that would have more than a few thousand shared tokens
/// processed elsewhere stay, as most suspects crash nothing.
const SUSPECT_TOKENS: f64 = 20_000.0;

/// Cost of sharing a plain target with such a request, in milliseconds of waiting.
const SUSPECT_MS: f64 = 400.0;

/// A chosen target and the reasons for the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetChoice {
    pub target: TargetName,
    /// Its cost, the lowest of all candidates.
    pub cost: f64,
    /// The load of the attempt on the target.
    pub load: AttemptLoad,
    /// Whether the target is the affinity target of the prompt's shared parts.
    pub is_affinity_target: bool,
    /// The number of candidates.
    pub candidates: usize,
    /// Its speed relative to the usual one; usual where speeds do not count.
    pub speed_step: SpeedStep,
    /// The engine from which the target fetches shared parts of the prompt if it is not their
    /// affinity target. A transfer takes a tenth of the time of processing the tokens, which would
    /// pause the engine's other streams.
    pub fetch_from: Option<SocketAddr>,
}

/// Chooses a target for an attempt.
///
/// Requests that share the leading parts of their prompts are sent to the same engine, which caches
/// these parts: rendezvous hashing selects one affinity target for each shared part, so that all
/// routers agree without communication. Another engine is chosen if its expected wait is much
/// shorter, even with all parts processed again. A single affinity target for the whole fleet,
/// instead of one in each domain, processes each part a third as often at the cost of moving some
/// kilobytes of prompt.
pub fn choose_target(
    roster: &TargetRoster,
    now: ClockTime,
    input: ChoiceInput<'_>,
) -> Option<TargetChoice> {
    let untried: Vec<_> = input
        .eligible(roster)
        .filter(|entry| !input.tried.contains(&entry.record.name))
        .filter(|entry| entry.stats.limit.paused_for_ms(now) == 0)
        .filter(|entry| input.rest_wait_ms(roster, entry, now) == 0)
        .filter(|entry| input.evacuations.allows(&entry.record.domain))
        .filter(|entry| input.warm_up_wait_ms(entry, now) == 0)
        .collect();
    let mut candidates: Vec<_> = untried
        .iter()
        .copied()
        .filter(|entry| !entry.stats.is_ejected(now))
        .collect();
    // An ejection is an estimate. If all targets are ejected, the likely cause is the path to them,
    // and an attempt is better than a refusal.
    if candidates.is_empty() {
        candidates = untried;
    }
    let candidates = paced(candidates, now, &input);
    let fastest = fastest_ms(&candidates, now);
    let speeds = SpeedPlan::new(&candidates, &input);
    let affinity = PartAffinity::find(&candidates, &input, &speeds);
    let count = candidates.len();
    candidates
        .iter()
        .map(|entry| weigh(entry, &affinity, &speeds, count, now, &input, fastest))
        .min_by(|left, right| left.cost.total_cmp(&right.cost))
}

/// Leaves out targets whose window does not admit the request. If more than half of the targets have
/// narrow windows, the others could not take what is kept from them, and all stay.
fn paced<'a>(
    candidates: Vec<&'a RosterEntry>,
    now: ClockTime,
    input: &ChoiceInput<'_>,
) -> Vec<&'a RosterEntry> {
    let is_narrow = |entry: &&RosterEntry| entry.stats.pace.is_narrow(now);
    let narrow = candidates.iter().copied().filter(is_narrow).count();
    if !input.policy.paces_recovery || narrow == 0 || narrow * 2 > candidates.len() {
        return candidates;
    }
    let admits = |entry: &&RosterEntry| {
        let name = entry.record.name.as_str();
        entry.stats.pace.admits(now, input.request_id, name)
    };
    candidates.into_iter().filter(admits).collect()
}

/// Returns the shortest recent wait among targets, in milliseconds.
fn fastest_ms(candidates: &[&RosterEntry], now: ClockTime) -> f64 {
    candidates
        .iter()
        .filter_map(|entry| entry.stats.speed_ms(now))
        .fold(f64::INFINITY, f64::min)
}

fn weigh(
    entry: &RosterEntry,
    affinity: &PartAffinity<'_>,
    speeds: &SpeedPlan,
    candidates: usize,
    now: ClockTime,
    input: &ChoiceInput<'_>,
    fastest: f64,
) -> TargetChoice {
    let is_affinity_target = affinity.is_first(entry);
    let is_foreign = entry.record.domain != *input.domain;
    let failures = (entry.stats.failure_share(now) - BASELINE_FAILURE_SHARE).max(0.0);
    let load = match is_affinity_target {
        true => input.prompt.own_tokens(),
        false => input.prompt.own_tokens() + input.prompt.shared_tokens(),
    };
    let missed = if is_affinity_target {
        0
    } else {
        input.prompt.shared_tokens()
    };
    let waiting = match input.is_engine {
        true => {
            engine_cost(entry, now, foreign_tokens(entry, input), fastest)
                + missed as f64 * MISS_WEIGHT
                + speeds.cost_tokens(entry, now)
        }
        false => plain_cost(entry, now, is_foreign, speeds.slowdown(entry)),
    };
    let regular_cost = waiting * (1.0 + FAILURE_WEIGHT * failures)
        + order_cost(entry, input)
        + input.cold_for_ms(entry, now) as f64 * COLD_TOKENS_PER_MS
        + suspects_cost(entry, input)
        + limit_cost(entry, input);
    let cost = match input.suspect {
        Some(name) => isolation_cost(entry, name),
        None => regular_cost,
    };
    TargetChoice {
        target: entry.record.name.clone(),
        cost,
        load: AttemptLoad {
            prefill_tokens: load,
        },
        is_affinity_target,
        candidates,
        speed_step: speeds.step(entry),
        fetch_from: fetch_source(entry, affinity, now, input),
    }
}

/// Returns the cost of a target that has announced a limit.
fn limit_cost(entry: &RosterEntry, input: &ChoiceInput<'_>) -> f64 {
    match entry.stats.limit.in_force() {
        Some(_) if input.is_engine => LIMITED_TOKENS,
        Some(_) => LIMITED_MS,
        None => 0.0,
    }
}

/// Returns the cost of sharing a target with requests that may crash it.
fn suspects_cost(entry: &RosterEntry, input: &ChoiceInput<'_>) -> f64 {
    let each = match input.is_engine {
        true => SUSPECT_TOKENS,
        false => SUSPECT_MS,
    };
    entry.stats.suspects as f64 * each
}

/// Returns the cost of a target for a request that may crash it: the attempts that would end with
/// it. Requests that are suspected together go to different targets, so that the next crash
/// identifies the cause.
fn isolation_cost(entry: &RosterEntry, suspect: &str) -> f64 {
    entry.stats.active as f64 + unit_weight(suspect, entry.record.name.as_str())
}

/// Returns the cost of an engine, in tokens to be processed before the first event.
fn engine_cost(entry: &RosterEntry, now: ClockTime, foreign: f64, fastest: f64) -> f64 {
    let stats = &entry.stats;
    let pending = stats.pending_tokens as f64 * PENDING_WEIGHT;
    let active = stats.active as f64 * ACTIVE_TOKENS;
    let lag = stats
        .speed_ms(now)
        .map_or(0.0, |speed| (speed - fastest).max(0.0) * TOKENS_PER_MS);
    pending + active + foreign + lag
}

/// Returns the cost of the path to an engine, in tokens.
fn foreign_tokens(entry: &RosterEntry, input: &ChoiceInput<'_>) -> f64 {
    let stays_local = input.runs_once && input.policy.keeps_single_runs_near;
    match entry.record.domain == *input.domain {
        true => 0.0,
        false if stays_local => SINGLE_RUN_FOREIGN_TOKENS,
        false => FOREIGN_TOKENS,
    }
}

/// Decides between targets of similar cost: by the order of the shared part, or by a hash of the
/// request id.
fn order_cost(entry: &RosterEntry, input: &ChoiceInput<'_>) -> f64 {
    let name = entry.record.name.as_str();
    match input.prompt.shared_id() {
        Some(shared) => ORDER_TOKENS * (1.0 - unit_weight(shared, name)),
        None => unit_weight(input.request_id, name),
    }
}

/// Returns the rendezvous weight, scaled to 0 to 1.
fn unit_weight(name: &str, member: &str) -> f64 {
    rendezvous_weight(name, member) as f64 / u64::MAX as f64
}

/// Returns the cost of a plain target, in milliseconds of waiting.
fn plain_cost(entry: &RosterEntry, now: ClockTime, is_foreign: bool, slowdown: f64) -> f64 {
    let unknown_ms = UNKNOWN_SPEED_MS * slowdown;
    let speed = entry.stats.speed_ms(now).unwrap_or(unknown_ms);
    let foreign = if is_foreign { FOREIGN_MS } else { 0.0 };
    let slots = entry.record.slots.max(1) as f64;
    let busy = entry.stats.active as f64 * PENDING_WEIGHT;
    speed * (1.0 + busy / slots) + foreign
}

/// Returns the engine from which a target fetches the prompt's shared parts, if they are worth a
/// transfer.
///
/// That is the affinity target of the parts. An affinity target that has just started fetches them
/// from the next engine in their order, which was their affinity target until then.
fn fetch_source(
    entry: &RosterEntry,
    affinity: &PartAffinity<'_>,
    now: ClockTime,
    input: &ChoiceInput<'_>,
) -> Option<SocketAddr> {
    let is_large_enough = input.is_engine && input.prompt.shared_tokens() >= FETCH_MIN_TOKENS;
    if !is_large_enough || !input.policy.fetches_parts {
        return None;
    }
    let source = match affinity.is_first(entry) {
        true if entry.is_new(now, NEW_ENGINE_MS) || has_returned(entry, now, input) => {
            affinity.second
        }
        true => None,
        false => affinity.first,
    };
    source.map(|source| source.record.address)
}

/// Whether a target's domain was taken back a while ago, so that it lacks the parts that other
/// engines have processed since.
fn has_returned(entry: &RosterEntry, now: ClockTime, input: &ChoiceInput<'_>) -> bool {
    let returned_ms = input.evacuations.returned_for_ms(now, &entry.record.domain);
    returned_ms.is_some_and(|returned_ms| returned_ms < NEW_ENGINE_MS)
}

/// The two engines that come first in the order of a prompt's shared part: its affinity target, and
/// the engine that replaces it if it is missing.
struct PartAffinity<'a> {
    first: Option<&'a RosterEntry>,
    second: Option<&'a RosterEntry>,
}

impl<'a> PartAffinity<'a> {
    fn find(candidates: &[&'a RosterEntry], input: &ChoiceInput<'_>, speeds: &SpeedPlan) -> Self {
        let mut affinity = PartAffinity {
            first: None,
            second: None,
        };
        let Some(shared) = input.prompt.shared_id() else {
            return affinity;
        };
        let (mut first_rank, mut second_rank) = (PlaceRank::LEAST, PlaceRank::LEAST);
        // An engine that takes few requests cannot be the affinity target of parts that many
        // requests share.
        let is_limited = |entry: &RosterEntry| entry.stats.limit.in_force().is_some();
        let all_limited = candidates.iter().all(|entry| is_limited(entry));
        for &entry in candidates {
            if is_limited(entry) && !all_limited {
                continue;
            }
            let rank = speeds.rank(shared, entry);
            if affinity.first.is_none() || rank > first_rank {
                (affinity.second, second_rank) = (affinity.first, first_rank);
                (affinity.first, first_rank) = (Some(entry), rank);
            } else if affinity.second.is_none() || rank > second_rank {
                (affinity.second, second_rank) = (Some(entry), rank);
            }
        }
        affinity
    }

    /// Whether a target is the affinity target of the prompt's shared parts.
    fn is_first(&self, entry: &RosterEntry) -> bool {
        self.first
            .is_some_and(|first| first.record.name == entry.record.name)
    }
}
