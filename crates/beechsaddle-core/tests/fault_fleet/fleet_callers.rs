//! The `fleet_callers` module provides the behaviour of callers.

use beechsaddle_core::call::{AnswerEnd, CallArrival, CallEvent, CallRoute, KeyDigest, TokenUsage};
use beechsaddle_core::prelude::*;

use super::call_log::{CallOutcome, FinalAnswer};
use super::fault_envelope::FaultEnvelope;
use super::{FaultFleet, NODES};

/// The maximum number of retries of a call.
const MAX_RETRIES: u32 = 3;

impl FaultFleet {
    /// Sends a call through a router if that router serves.
    pub(super) fn call(
        &mut self,
        node: usize,
        is_chat: bool,
        repeatable: Option<bool>,
        key: Option<KeyText>,
    ) {
        let route = match is_chat {
            true => CallRoute::Chat {
                model: "glas".into(),
            },
            false => CallRoute::Service {
                service: "notify".into(),
            },
        };
        self.arrive(node, route, repeatable, key, 0);
    }

    fn arrive(
        &mut self,
        node: usize,
        route: CallRoute,
        repeatable: Option<bool>,
        key: Option<KeyText>,
        retries: u32,
    ) {
        if !self.nodes[node].is_serving() {
            return;
        }
        self.call_count += 1;
        let call = CallId {
            router: self.nodes[node].name.clone(),
            number: self.call_count,
        };
        let deadline = self.chance(200).then(|| {
            let timeout_ms = self.between(1, 3_000);
            self.now.plus_ms(timeout_ms)
        });
        let arrival = CallArrival {
            call: call.clone(),
            key_digest: KeyDigest([7; 32]),
            route,
            budget: None,
            idempotency: key,
            repeatable,
            deadline,
            input_bound: 100,
            output_bound: Some(100),
            prefix: Vec::new(),
        };
        let outcome = CallOutcome {
            arrival: arrival.clone(),
            node,
            attempts: Default::default(),
            finals: Vec::new(),
            is_lost: false,
            is_orphan: false,
            retries,
        };
        self.call_log.calls.insert(call, outcome);
        let event = CallEvent::Arrived(Box::new(arrival));
        self.send_event(0, node, CoreEvent::Call(event));
    }

    /// Lets a caller retry, at random, a call that did not run.
    pub(super) fn on_refused(&mut self, call: &CallId, refusal: &CallRefusal) {
        if refusal.ran == RanState::No && self.chance(500) {
            let delay_ms = refusal.retry_after_ms.unwrap_or(100).min(5_000);
            self.send(delay_ms, FaultEnvelope::Retry { call: call.clone() });
        }
    }

    pub(super) fn retry(&mut self, call: &CallId) {
        let outcome = &self.call_log.calls[call];
        if outcome.retries >= MAX_RETRIES {
            return;
        }
        let arrival = outcome.arrival.clone();
        let retries = outcome.retries + 1;
        let node = self.between(0, NODES as u64 - 1) as usize;
        self.arrive(
            node,
            arrival.route,
            arrival.repeatable,
            arrival.idempotency,
            retries,
        );
    }

    /// Disconnects a caller, and raises the event of its router's edge.
    pub(super) fn hang_up(&mut self, number: u8) {
        let open: Vec<CallId> = self
            .call_log
            .calls
            .iter()
            .filter(|(_, outcome)| outcome.is_open() && !self.nodes[outcome.node].is_frozen)
            .map(|(call, _)| call.clone())
            .collect();
        let Some(call) = open.get(usize::from(number) % open.len().max(1)).cloned() else {
            return;
        };
        let outcome = &self.call_log.calls[&call];
        let node = outcome.node;
        let last = outcome.attempts.iter().next_back();
        let last = last.map(|(attempt, seen)| (attempt.clone(), seen.clone()));
        let event = match last {
            Some((attempt, seen)) if !seen.is_over => CallEvent::AnswerEnded {
                attempt,
                end: AnswerEnd::CallerGone,
                usage: TokenUsage {
                    input: 0,
                    output: seen.relayed,
                },
            },
            // The answer was relayed; only its last part is held, and the core knows its usage.
            Some((_, seen)) if seen.relayed > 0 => {
                return self.call_log.end(&call, FinalAnswer::CallerGone);
            }
            Some(_) | None => CallEvent::CallerGone {
                call: call.clone(),
                last_attempt: None,
            },
        };
        self.call_log.end(&call, FinalAnswer::CallerGone);
        self.take(node, CoreEvent::Call(event));
    }

    /// Drops the callers of a router that died; those with an idempotency key may retry elsewhere.
    pub(super) fn drop_callers(&mut self, node: usize) {
        let name = self.nodes[node].name.clone();
        let mut lost = Vec::new();
        for (call, outcome) in &mut self.call_log.calls {
            outcome.is_orphan |= call.router == name;
            if call.router == name && outcome.is_open() {
                outcome.is_lost = true;
                lost.push((call.clone(), outcome.arrival.idempotency.is_some()));
            }
        }
        for (call, has_key) in lost {
            if has_key && self.chance(700) {
                let delay_ms = self.between(50, 3_000);
                self.send(delay_ms, FaultEnvelope::Retry { call });
            }
        }
    }
}
