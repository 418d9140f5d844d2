//! The `bench_faults` module provides what can go wrong on the bench.

use beechsaddle_core::members::{MemberEntry, MemberLiveness};
use beechsaddle_core::platform::{PlatformCall, PlatformReply};
use beechsaddle_core::prelude::*;

use super::parcel::{NOBODY, Parcel};
use super::router_node::new_node;
use super::{OnceBench, is_write};

impl OnceBench {
    /// Lets a router believe that it is alone in its domain.
    pub fn doubt_members(&mut self, node: usize) {
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

    /// Delivers platform calls and answers until the next write has reached the store, and loses
    /// its answer.
    pub fn lose_next_write_answer(&mut self) {
        loop {
            if let Some(index) = self.parcels.iter().position(is_write) {
                self.lose_answer(index);
                return;
            }
            self.deliver(0);
        }
    }

    /// Lets the call at `index` take effect and loses its answer.
    pub fn lose_answer(&mut self, index: usize) {
        if let Parcel::Call { node, ticket, call } = self.parcels[index].clone() {
            self.parcels.remove(index);
            self.store.apply(&call);
            let reply = PlatformReply::Unknown;
            self.parcels.push(Parcel::Reply {
                node,
                ticket,
                reply,
            });
        }
    }

    /// Tells a router that the answer to its call at `index` is lost, while the call is still on
    /// its way: it may take effect at any later time, or never.
    pub fn give_up_call(&mut self, index: usize) {
        if let Parcel::Call { node, ticket, call } = self.parcels[index].clone() {
            self.parcels[index] = Parcel::Call {
                node: NOBODY,
                ticket,
                call,
            };
            let reply = PlatformReply::Unknown;
            self.parcels.push(Parcel::Reply {
                node,
                ticket,
                reply,
            });
        }
    }

    /// Ends a router's process: its memory and what it has sent to the platform are gone.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_alive = false;
        self.nodes[node].is_frozen = false;
        self.note(node, "event", &"killed");
        self.orphan_parcels(node);
        let me = self.nodes[node].me.clone();
        for other in &mut self.nodes {
            if let Some(entry) = other.members.get(&me) {
                let mut entry = entry.clone();
                entry.liveness = MemberLiveness::Down;
                other.members.insert(me.clone(), entry);
            }
        }
    }

    /// Calls that were sent may still take effect; nobody reads their answers.
    fn orphan_parcels(&mut self, dead: usize) {
        self.parcels
            .retain(|parcel| !matches!(parcel, Parcel::Reply { node, .. } if *node == dead));
        for parcel in &mut self.parcels {
            match parcel {
                Parcel::Call { node, .. } if *node == dead => *node = NOBODY,
                Parcel::Call { .. } | Parcel::Reply { .. } | Parcel::Peer { .. } => {}
            }
        }
    }

    /// Replaces a killed router by a new incarnation.
    pub fn restart(&mut self, node: usize) {
        let old = &self.nodes[node];
        let me = RouterIncarnation::new(old.me.host.clone(), old.me.epoch + 1);
        let fresh = new_node(&self.options, me, old.domain.clone());
        self.nodes[node] = fresh;
        self.introduce();
    }

    /// Stops a router's process.
    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].is_frozen = true;
        self.note(node, "event", &"frozen");
    }

    /// Lets a frozen router go on.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].is_frozen = false;
        self.note(node, "event", &"resumed");
    }
}
