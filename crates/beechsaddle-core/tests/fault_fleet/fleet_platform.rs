//! The `fleet_platform` module provides the delivery of platform calls and replies.

use beechsaddle_core::platform::{PlatformCall, PlatformReply, PlatformTicket};
use beechsaddle_core::prelude::*;

use super::FaultFleet;
use super::fault_envelope::{FaultEnvelope, WaitingWatch};

/// The timeout of a platform call, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// The maximum wait of a watch, in milliseconds.
const WATCH_MS: u64 = 25_000;

impl FaultFleet {
    pub(super) fn call_platform(
        &mut self,
        node: usize,
        ticket: PlatformTicket,
        call: PlatformCall,
    ) {
        if !self.network.reaches_platform(node) {
            let delay_ms = self.between(1, 300);
            return self.reply(delay_ms, node, ticket, PlatformReply::Unreachable);
        }
        let epoch = self.nodes[node].name.epoch;
        if let PlatformCall::Watch { prefix, after } = call {
            self.watches.push(WaitingWatch {
                node,
                epoch,
                ticket,
                prefix,
                after,
                until: self.now.plus_ms(WATCH_MS),
            });
            return self.answer_watches();
        }
        let is_late = self.chance(self.network.late_write_permille);
        let is_lost = is_late || self.chance(self.network.lost_answer_permille);
        let delay_ms = match is_late {
            true => self.between(ANSWER_TIMEOUT_MS, 6 * ANSWER_TIMEOUT_MS),
            false => self.between(1, 5),
        };
        if is_lost {
            self.reply(ANSWER_TIMEOUT_MS, node, ticket, PlatformReply::Unknown);
        }
        self.send(
            delay_ms,
            FaultEnvelope::CallArrived {
                node,
                epoch,
                ticket,
                call,
                is_answered: !is_lost,
            },
        );
    }

    pub(super) fn on_call_arrived(
        &mut self,
        node: usize,
        epoch: u64,
        ticket: PlatformTicket,
        call: PlatformCall,
        is_answered: bool,
    ) {
        let reply = self.store.serve(call);
        self.answer_watches();
        if !is_answered || self.nodes[node].name.epoch != epoch {
            return;
        }
        if self.network.reaches_platform(node) {
            let delay_ms = self.between(1, 5);
            self.reply(delay_ms, node, ticket, reply);
        } else {
            self.reply(ANSWER_TIMEOUT_MS, node, ticket, PlatformReply::Unknown);
        }
    }

    /// Answers the watches with new changes.
    pub(super) fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            if !self.is_current(watch.node, watch.epoch) {
                continue;
            }
            let objects = self.store.changed(&watch.prefix, watch.after, true);
            if objects.is_empty() || !self.network.reaches_platform(watch.node) {
                self.watches.push(watch);
                continue;
            }
            let revision = self.store.revision;
            let reply = PlatformReply::Changed { objects, revision };
            let delay_ms = self.between(1, 5);
            self.reply(delay_ms, watch.node, watch.ticket, reply);
        }
    }

    /// Answers the watches that reached their maximum wait.
    pub(super) fn expire_watches(&mut self) {
        let now = self.now;
        let (over, waiting) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|watch| watch.until <= now);
        self.watches = waiting;
        let over: Vec<WaitingWatch> = over;
        for watch in over {
            if !self.is_current(watch.node, watch.epoch) {
                continue;
            }
            let reply = match self.network.reaches_platform(watch.node) {
                true => PlatformReply::Changed {
                    objects: Vec::new(),
                    revision: self.store.revision,
                },
                false => PlatformReply::Unknown,
            };
            self.reply(1, watch.node, watch.ticket, reply);
        }
    }

    fn reply(&mut self, delay_ms: u64, node: usize, ticket: PlatformTicket, reply: PlatformReply) {
        self.send_event(delay_ms, node, CoreEvent::Platform { ticket, reply });
    }
}
