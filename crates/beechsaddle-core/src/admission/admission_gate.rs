//! The `admission_gate` module provides the decision whether a call is admitted.

use std::collections::BTreeMap;

use super::{
    AdmissionInput, AdmissionOptions, AdmissionPass, LimitExceeded, LimitMeter, LoadShedder,
};
use crate::catalogue::{EntryId, EntryLimits};
use crate::clock::ClockTime;
use crate::members::{MemberLiveness, MemberTable};
use crate::random::SeededRandom;
use crate::refusal::{CallRefusal, RefusalReason};

/// The minimum `Retry-After` for a caller whose deadline cannot be met, in milliseconds.
const DEADLINE_RETRY_MIN_MS: u64 = 100;

/// Admits or refuses calls without queueing.
#[derive(Debug)]
pub struct AdmissionGate {
    pub(super) options: AdmissionOptions,
    pub(super) meters: BTreeMap<EntryId, LimitMeter>,
    pub(super) routers: usize,
    pub(super) next_update: Option<EntryId>,
    open_calls: u32,
    shedder: LoadShedder,
    random: SeededRandom,
}

impl AdmissionGate {
    /// Creates a gate without calls; equal seeds give equal decisions.
    pub fn new(options: AdmissionOptions, seed: u64) -> Self {
        AdmissionGate {
            options,
            meters: BTreeMap::new(),
            routers: 1,
            next_update: None,
            open_calls: 0,
            shedder: LoadShedder::new(),
            random: SeededRandom::new(seed),
        }
    }

    /// The number of admitted calls that have not ended.
    pub fn open_calls(&self) -> u32 {
        self.open_calls
    }

    /// Updates the set of routers that share the limits.
    pub fn tick(&mut self, now: ClockTime, members: &MemberTable) {
        // A router that is down may be partitioned and still serve its callers, so it keeps its
        // floor until it is known to be gone. Its demand expires when no update arrives.
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

    /// Admits or refuses a call. A refused call takes nothing from any limit.
    pub fn admit(
        &mut self,
        now: ClockTime,
        input: &AdmissionInput<'_>,
    ) -> Result<AdmissionPass, CallRefusal> {
        check_deadline(now, input)?;
        self.check_load(input)?;
        let limits = input.limits();
        self.check_limits(now, input.tokens, &limits)?;
        for (entry, _) in &limits {
            if let Some(meter) = self.meters.get_mut(entry) {
                meter.take(now, input.tokens);
            }
        }
        self.open_calls += 1;
        Ok(AdmissionPass {
            entries: limits.into_iter().map(|(entry, _)| entry).collect(),
            tokens: input.tokens,
            admitted: now,
        })
    }

    /// Releases the pass of a call that ended after using `tokens`.
    pub fn ended(&mut self, now: ClockTime, pass: AdmissionPass, tokens: u64) {
        let call_ms = now.since(pass.admitted);
        self.open_calls = self.open_calls.saturating_sub(1);
        self.shedder.ended(call_ms);
        for entry in &pass.entries {
            if let Some(meter) = self.meters.get_mut(entry) {
                meter.release(now, pass.tokens, tokens, call_ms);
            }
        }
    }

    fn check_load(&mut self, input: &AdmissionInput<'_>) -> Result<(), CallRefusal> {
        let shed = self.shedder.shed(
            input.class,
            self.open_calls,
            &input.load,
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
        let mut refused: Option<LimitExceeded> = None;
        for (entry, limits) in limits {
            let meter = self
                .meters
                .entry(entry.clone())
                .or_insert_with(|| LimitMeter::new(*limits));
            // The catalogue may have changed since the entry's last call.
            meter.limits = *limits;
            let checked = meter.check(now, tokens, self.routers, &self.options, &mut self.random);
            if let Err(exceeded) = checked {
                refused.get_or_insert(exceeded);
            }
        }
        match refused {
            Some(exceeded) => Err(CallRefusal::not_run(
                exceeded.reason,
                exceeded.retry_after_ms,
            )),
            None => Ok(()),
        }
    }
}

/// Refuses a call whose answer cannot start before its deadline: it would take capacity from a call
/// that can still be answered.
fn check_deadline(now: ClockTime, input: &AdmissionInput<'_>) -> Result<(), CallRefusal> {
    let Some(deadline) = input.deadline else {
        return Ok(());
    };
    if deadline <= now {
        return Err(CallRefusal::not_run(RefusalReason::DeadlineExceeded, None));
    }
    let left_ms = deadline.since(now);
    match input.load.first_token_ms {
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
