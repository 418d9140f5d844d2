//! The `fleet_edges` module provides the edges that carry out a router's actions.

use beechsaddle_core::call::{
    AnswerEnd, AttemptFailure, CallAction, CallEvent, CallRoute, TokenUsage,
};
use beechsaddle_core::peer::PeerMessage;
use beechsaddle_core::prelude::*;
use beechsaddle_core::target::{OrderOutcome, TargetAction, TargetEvent};

use super::FaultFleet;
use super::call_log::FinalAnswer;
use super::target_script::TargetScript;
use crate::fleet_setup::probe_outcome;

/// The share of dispatches that cross a disconnect of their callers, in thousandths.
const CROSSED_PERMILLE: u32 = 20;

/// The cost of a call to the plain service, in tokens.
const SERVICE_COST: u64 = 5;

impl FaultFleet {
    pub(super) fn carry_out(&mut self, node: usize, action: CoreAction) {
        match action {
            CoreAction::Call(action) => self.act_on_call(node, action),
            CoreAction::Platform { ticket, call } => self.call_platform(node, ticket, call),
            CoreAction::Peer { to, message, .. } => self.carry_message(node, &to, message),
            CoreAction::Target(TargetAction::Probe { target, .. }) => {
                let event = TargetEvent::Probed {
                    outcome: probe_outcome(&target),
                    target,
                    cache: None,
                };
                self.send_event(2, node, CoreEvent::Target(event));
            }
            CoreAction::Target(TargetAction::Order { target, fence, .. }) => {
                let event = TargetEvent::Ordered {
                    target,
                    fence,
                    outcome: OrderOutcome::Accepted,
                };
                self.send_event(2, node, CoreEvent::Target(event));
            }
            CoreAction::Report(_) | CoreAction::Status { .. } => {}
            CoreAction::Exit => self.exit(node),
        }
    }

    fn carry_message(&mut self, node: usize, to: &RouterIncarnation, message: PeerMessage) {
        if let PeerMessage::Heartbeat(heartbeat) = &message {
            self.check_revision(node, heartbeat.catalogue_revision);
        }
        let receiver = self.nodes.iter().position(|other| {
            let name = &other.name;
            name.host == to.host && (to.epoch == 0 || to.epoch == name.epoch)
        });
        let Some(receiver) = receiver else {
            return;
        };
        if !self.network.is_joined(node, receiver) || self.chance(self.network.loss_permille) {
            return;
        }
        let from = self.nodes[node].name.clone();
        let event = CoreEvent::Peer { from, message };
        let copies = 1 + u32::from(self.chance(self.network.duplicate_permille));
        for _ in 0..copies {
            let delay_ms = self.between(1, 2 + self.network.delay_ms);
            self.send_event(delay_ms, receiver, event.clone());
        }
    }

    fn act_on_call(&mut self, node: usize, action: CallAction) {
        match action {
            CallAction::Refuse { call, refusal } => {
                self.call_log
                    .end(&call, FinalAnswer::Refused(refusal.clone()));
                self.on_refused(&call, &refusal);
            }
            CallAction::Dispatch {
                attempt,
                target,
                output_limit,
                head_timeout_ms,
                repeatable,
                ..
            } => {
                if self.chance(CROSSED_PERMILLE) {
                    let call = attempt.call;
                    self.call_log.end(&call, FinalAnswer::CallerGone);
                    let event = CallEvent::CallerGone {
                        call,
                        last_attempt: None,
                    };
                    return self.send_event(1, node, CoreEvent::Call(event));
                }
                let script = self.scripts.get(&target).copied().unwrap_or_default();
                self.call_log
                    .dispatch(&attempt, script != TargetScript::Closed);
                let usage = self.draw_usage(output_limit);
                for (delay_ms, event) in script.events(&attempt, usage, repeatable, head_timeout_ms)
                {
                    self.send_event(delay_ms, node, CoreEvent::Call(event));
                }
            }
            CallAction::Finish { call } => self.call_log.end(&call, FinalAnswer::Complete),
            CallAction::Abort { call } => self.call_log.end(&call, FinalAnswer::Truncated),
            CallAction::StopAccepting => self.nodes[node].is_draining = true,
            CallAction::Models { .. } => {}
        }
    }

    fn draw_usage(&mut self, output_limit: Option<u64>) -> TokenUsage {
        match output_limit {
            Some(limit) => TokenUsage {
                input: self.between(1, 100),
                output: self.between(1, limit),
            },
            None => TokenUsage::default(),
        }
    }

    /// Does the edge's part of an event from a target. Returns false if the attempt is finished.
    pub(super) fn relay(&mut self, event: &CallEvent) -> bool {
        let (attempt, used, is_over) = match event {
            CallEvent::AttemptFailed { attempt, failure } => {
                debug_assert!(AttemptFailure::ALL.contains(failure));
                (attempt, None, true)
            }
            CallEvent::AnswerStarted { attempt } => (attempt, None, false),
            CallEvent::AnswerProgress { attempt, usage } => (attempt, Some(*usage), false),
            CallEvent::AnswerEnded { attempt, usage, .. } => (attempt, Some(*usage), true),
            CallEvent::Arrived(_)
            | CallEvent::Rejected(_)
            | CallEvent::ModelsQuery { .. }
            | CallEvent::CallerGone { .. } => return true,
        };
        let Some(outcome) = self.call_log.calls.get_mut(&attempt.call) else {
            return false;
        };
        let is_service = matches!(outcome.arrival.route, CallRoute::Service { .. });
        let Some(seen) = outcome
            .attempts
            .get_mut(attempt)
            .filter(|seen| !seen.is_over)
        else {
            return false;
        };
        seen.is_over = is_over;
        if let Some(usage) = used {
            seen.relayed = match is_service {
                true => SERVICE_COST,
                false => usage.total(),
            };
        }
        if let CallEvent::AnswerEnded {
            end: AnswerEnd::Truncated,
            ..
        } = event
        {
            let call = attempt.call.clone();
            self.call_log.end(&call, FinalAnswer::Truncated);
        }
        true
    }

    fn exit(&mut self, node: usize) {
        let name = self.nodes[node].name.clone();
        let open = self.call_log.calls.values();
        let open = open.filter(|outcome| outcome.arrival.call.router == name && outcome.is_open());
        for outcome in open {
            self.faults
                .push(format!("{name}: exited before {}", outcome.arrival.call));
        }
        self.nodes[node].has_exited = true;
        self.nodes[node].is_listed = false;
        self.list_hosts();
    }
}
