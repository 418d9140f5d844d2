//! The `bench_faults` module provides the faults of the bench.

use beechsaddle_core::members::{MemberEntry, MemberLiveness};
use beechsaddle_core::platform::{PlatformCall, PlatformReply};
use beechsaddle_core::prelude::*;

use super::envelope::{Envelope, NO_ROUTER};
use super::router_node::new_node;
use super::{DedupBench, is_write};

impl DedupBench {
    /// Marks all other routers as down in one router's member table.
    pub fn isolate(&mut self, node: usize) {
        let target = &mut self.nodes[node];
        let others: Vec<(RouterIncarnation, MemberEntry)> = target
            .members
            .iter()
            .map(|(router, entry)| (router.clone(), entry.clone()))
            .collect();
        for (router, mut entry) in others {
            entry.liveness = MemberLiveness::Down;
            target.members.insert(router, entry);
        }
    }

    /// Delivers platform calls and replies until the next write has reached the store, and drops
    /// its reply.
    pub fn lose_next_write_answer(&mut self) {
        loop {
            if let Some(index) = self.envelopes.iter().position(is_write) {
                self.lose_answer(index);
                return;
            }
            self.deliver(0);
        }
    }

    /// Applies the call at `index` and drops its reply.
    pub fn lose_answer(&mut self, index: usize) {
        if let Envelope::Call { node, ticket, call } = self.envelopes[index].clone() {
            self.envelopes.remove(index);
            self.store.apply(&call);
            let reply = PlatformReply::Unknown;
            self.envelopes.push(Envelope::Reply {
                node,
                ticket,
                reply,
            });
        }
    }

    /// Times out the call at `index` while it is in flight: it may take effect at any later time,
    /// or never.
    pub fn time_out_call(&mut self, index: usize) {
        if let Envelope::Call { node, ticket, call } = self.envelopes[index].clone() {
            self.envelopes[index] = Envelope::Call {
                node: NO_ROUTER,
                ticket,
                call,
            };
            let reply = PlatformReply::Unknown;
            self.envelopes.push(Envelope::Reply {
                node,
                ticket,
                reply,
            });
        }
    }

    /// Kills a router: its memory is lost, and replies to it are dropped.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_alive = false;
        self.nodes[node].is_frozen = false;
        self.write_line(node, "event", &"killed");
        self.orphan_envelopes(node);
        let me = self.nodes[node].me.clone();
        for other in &mut self.nodes {
            if let Some(entry) = other.members.get(&me) {
                let mut entry = entry.clone();
                entry.liveness = MemberLiveness::Down;
                other.members.insert(me.clone(), entry);
            }
        }
    }

    /// Lets calls in flight still take effect without a reply.
    fn orphan_envelopes(&mut self, dead: usize) {
        self.envelopes
            .retain(|envelope| !matches!(envelope, Envelope::Reply { node, .. } if *node == dead));
        for envelope in &mut self.envelopes {
            match envelope {
                Envelope::Call { node, .. } if *node == dead => *node = NO_ROUTER,
                Envelope::Call { .. } | Envelope::Reply { .. } | Envelope::Peer { .. } => {}
            }
        }
    }

    /// Replaces a killed router by a new incarnation.
    pub fn restart(&mut self, node: usize) {
        let old = &self.nodes[node];
        let me = RouterIncarnation::new(old.me.host.clone(), old.me.epoch + 1);
        let replacement = new_node(&self.options, me, old.domain.clone());
        self.nodes[node] = replacement;
        self.introduce();
    }

    /// Freezes a router's process.
    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].is_frozen = true;
        self.write_line(node, "event", &"frozen");
    }

    /// Resumes a frozen router.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].is_frozen = false;
        self.write_line(node, "event", &"resumed");
    }
}
