//! The `fleet_callers` module provides what callers do.

use beechsaddle_core::call::{AnswerEnd, CallArrival, CallEvent, CallRoute, KeyDigest, TokenUsage};
use beechsaddle_core::prelude::*;

use super::call_book::{CallFate, FinalAnswer};
use super::fault_parcel::FaultParcel;
use super::{FaultFleet, NODES};

/// How often a caller tries again.
const RETRIES_MAX: u32 = 3;

impl FaultFleet {
    /// A call through a router, if that one serves.
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
            let patience_ms = self.between(1, 3_000);
            self.now.plus_ms(patience_ms)
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
        let fate = CallFate {
            arrival: arrival.clone(),
            node,
            attempts: Default::default(),
            finals: Vec::new(),
            is_lost: false,
            is_orphan: false,
            retries,
        };
        self.book.calls.insert(call, fate);
        let event = CallEvent::Arrived(Box::new(arrival));
        self.send_event(0, node, CoreEvent::Call(event));
    }

    /// A caller that was told that its call did not run may try again.
    pub(super) fn on_refused(&mut self, call: &CallId, refusal: &CallRefusal) {
        if refusal.ran == RanState::No && self.chance(500) {
            let delay_ms = refusal.retry_after_ms.unwrap_or(100).min(5_000);
            self.send(delay_ms, FaultParcel::Retry { call: call.clone() });
        }
    }

    pub(super) fn retry(&mut self, call: &CallId) {
        let fate = &self.book.calls[call];
        if fate.retries >= RETRIES_MAX {
            return;
        }
        let arrival = fate.arrival.clone();
        let retries = fate.retries + 1;
        let node = self.between(0, NODES as u64 - 1) as usize;
        self.arrive(
            node,
            arrival.route,
            arrival.repeatable,
            arrival.idempotency,
            retries,
        );
    }

    /// A caller hangs up, as its router's edge tells it.
    pub(super) fn hang_up(&mut self, number: u8) {
        let open: Vec<CallId> = self
            .book
            .calls
            .iter()
            .filter(|(_, fate)| fate.is_open() && !self.nodes[fate.node].is_frozen)
            .map(|(call, _)| call.clone())
            .collect();
        let Some(call) = open.get(usize::from(number) % open.len().max(1)).cloned() else {
            return;
        };
        let fate = &self.book.calls[&call];
        let node = fate.node;
        let last = fate.attempts.iter().next_back();
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
            // The answer came; only its last part was missing, and the core knows its usage.
            Some((_, seen)) if seen.relayed > 0 => {
                return self.book.end(&call, FinalAnswer::Left);
            }
            Some(_) | None => CallEvent::CallerGone {
                call: call.clone(),
                last_attempt: None,
            },
        };
        self.book.end(&call, FinalAnswer::Left);
        self.take(node, CoreEvent::Call(event));
    }

    /// The callers of a router that died; those with a key of their own try again elsewhere.
    pub(super) fn lose_callers(&mut self, node: usize) {
        let name = self.nodes[node].name.clone();
        let mut lost = Vec::new();
        for (call, fate) in &mut self.book.calls {
            fate.is_orphan |= call.router == name;
            if call.router == name && fate.is_open() {
                fate.is_lost = true;
                lost.push((call.clone(), fate.arrival.idempotency.is_some()));
            }
        }
        for (call, has_key) in lost {
            if has_key && self.chance(700) {
                let delay_ms = self.between(50, 3_000);
                self.send(delay_ms, FaultParcel::Retry { call });
            }
        }
    }
}
