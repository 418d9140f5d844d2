//! The `admission_gate` module provides the decision whether a call may run.

use std::collections::BTreeMap;

use super::{AdmissionOptions, AdmissionPass, CallFacts, LimitMeter, LimitShort, LoadShedder};
use crate::catalogue::{EntryId, EntryLimits};
use crate::clock::ClockTime;
use crate::members::{MemberLiveness, MemberTable};
use crate::random::SeededRandom;
use crate::refusal::{CallRefusal, RefusalReason};

/// The least time that a caller whose deadline cannot be met is asked to stay away, in
/// milliseconds.
const DEADLINE_RETRY_MIN_MS: u64 = 100;

/// Admits calls or refuses them at once.
#[derive(Debug)]
pub struct AdmissionGate {
    pub(super) options: AdmissionOptions,
    pub(super) meters: BTreeMap<EntryId, LimitMeter>,
    pub(super) routers: usize,
    pub(super) next_told: Option<EntryId>,
    open_calls: u32,
    shedder: LoadShedder,
    random: SeededRandom,
}

impl AdmissionGate {
    /// A gate without calls; equal seeds give equal decisions.
    pub fn new(options: AdmissionOptions, seed: u64) -> Self {
        AdmissionGate {
            options,
            meters: BTreeMap::new(),
            routers: 1,
            next_told: None,
            open_calls: 0,
            shedder: LoadShedder::new(),
            random: SeededRandom::new(seed),
        }
    }

    /// How many admitted calls have not ended.
    pub fn open_calls(&self) -> u32 {
        self.open_calls
    }

    /// Takes note of the routers that share the limits.
    pub fn tick(&mut self, now: ClockTime, members: &MemberTable) {
        // A router that is down may be cut off and still serve its callers, so it keeps its floor
        // until it is known to be gone. Its demand is dropped when it has not been told for long.
        let others = members
            .iter()
            .filter(|(_, entry)| entry.domain == *members.domain())
            .filter(|(_, entry)| entry.liveness != MemberLiveness::Gone)
            .count();
        self.routers = others + 1;
        for meter in self.meters.values_mut() {
            meter.peers.retain(|router, _| {
                members
                    .get(router)
                    .is_some_and(|entry| entry.liveness != MemberLiveness::Gone)
            });
            meter.update_shares(now, self.routers, &self.options);
        }
        let options = &self.options;
        self.meters.retain(|_, meter| !meter.is_idle(now, options));
    }

    /// Admits a call or refuses it. A refused call holds nothing.
    pub fn admit(
        &mut self,
        now: ClockTime,
        facts: &CallFacts<'_>,
    ) -> Result<AdmissionPass, CallRefusal> {
        check_deadline(now, facts)?;
        self.check_load(facts)?;
        let limits = facts.limits();
        self.check_limits(now, facts.tokens, &limits)?;
        for (entry, _) in &limits {
            if let Some(meter) = self.meters.get_mut(entry) {
                meter.take(now, facts.tokens);
            }
        }
        self.open_calls += 1;
        Ok(AdmissionPass {
            entries: limits.into_iter().map(|(entry, _)| entry).collect(),
            tokens: facts.tokens,
            admitted: now,
        })
    }

    /// Takes back the pass of a call that ended having used `tokens`.
    pub fn ended(&mut self, now: ClockTime, pass: AdmissionPass, tokens: u64) {
        let call_ms = now.since(pass.admitted);
        self.open_calls = self.open_calls.saturating_sub(1);
        self.shedder.ended(call_ms);
        for entry in &pass.entries {
            if let Some(meter) = self.meters.get_mut(entry) {
                meter.give_back(now, pass.tokens, tokens, call_ms);
            }
        }
    }

    fn check_load(&mut self, facts: &CallFacts<'_>) -> Result<(), CallRefusal> {
        let shed = self.shedder.shed(
            facts.class,
            self.open_calls,
            &facts.load,
            &self.options,
            &mut self.random,
        );
        match shed {
            Some(retry_after_ms) => Err(CallRefusal::not_run(
                RefusalReason::Overloaded,
                Some(retry_after_ms),
            )),
            None => Ok(()),
        }
    }

    fn check_limits(
        &mut self,
        now: ClockTime,
        tokens: u64,
        limits: &[(EntryId, EntryLimits)],
    ) -> Result<(), CallRefusal> {
        let mut refused: Option<LimitShort> = None;
        for (entry, limits) in limits {
            let meter = self
                .meters
                .entry(entry.clone())
                .or_insert_with(|| LimitMeter::new(*limits));
            // The catalogue may have changed since the last call of the entry.
            meter.limits = *limits;
            let asked = meter.ask(now, tokens, self.routers, &self.options, &mut self.random);
            if let Err(short) = asked {
                refused.get_or_insert(short);
            }
        }
        match refused {
            Some(short) => Err(CallRefusal::not_run(short.reason, short.retry_after_ms)),
            None => Ok(()),
        }
    }
}

/// Refuses a call whose answer cannot begin before its caller gives up: it would only take the
/// place of one that can still be answered.
fn check_deadline(now: ClockTime, facts: &CallFacts<'_>) -> Result<(), CallRefusal> {
    let Some(deadline) = facts.deadline else {
        return Ok(());
    };
    if deadline <= now {
        return Err(CallRefusal::not_run(RefusalReason::DeadlineExceeded, None));
    }
    let left_ms = deadline.since(now);
    match facts.load.first_token_ms {
        Some(first_token_ms) if first_token_ms > left_ms => {
            let wait_ms = (first_token_ms - left_ms).max(DEADLINE_RETRY_MIN_MS);
            Err(CallRefusal::not_run(
                RefusalReason::DeadlineExceeded,
                Some(wait_ms),
            ))
        }
        Some(_) | None => Ok(()),
    }
}
