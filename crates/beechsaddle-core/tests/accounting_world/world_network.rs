//! The `world_network` module provides deliveries and faults.

use beechsaddle_core::members::MemberLiveness;
use beechsaddle_core::peer::RouterState;
use beechsaddle_core::platform::PlatformReply;
use beechsaddle_core::prelude::*;

use super::{AccountingWorld, Delivery, member};

impl AccountingWorld {
    fn is_cut(&self, left: usize, right: usize) -> bool {
        let left = &self.slots[left].domain;
        let right = &self.slots[right].domain;
        left != right && (self.cut_domains.contains(left) || self.cut_domains.contains(right))
    }

    fn is_platform_unreachable(&self, router: usize) -> bool {
        self.is_platform_down || self.cut_domains.contains(&self.slots[router].domain)
    }

    /// Completes one delivery. Deliveries to a frozen router stay pending.
    pub fn deliver(&mut self, index: usize) {
        let delivery = self.deliveries.remove(index);
        match delivery {
            Delivery::Peer { from, to, message } => {
                if self.is_cut(from, to) {
                    return;
                }
                if self.slots[to].is_frozen {
                    self.deliveries.push(Delivery::Peer { from, to, message });
                    return;
                }
                let sender = self.slots[from].router.clone();
                let receiver = self.slots[to].router.to_string();
                self.record_event("hears", &receiver, &(sender.to_string(), &message));
                self.with_manager(to, |manager, now, members, outbox| {
                    manager.on_peer(now, &sender, message, members, outbox);
                });
            }
            Delivery::Call {
                router,
                ticket,
                call,
            } => {
                let reply = if self.is_platform_unreachable(router) {
                    PlatformReply::Unreachable
                } else {
                    self.store.apply(call)
                };
                self.deliveries.push(Delivery::Reply {
                    router,
                    ticket,
                    reply,
                });
            }
            Delivery::Reply {
                router,
                ticket,
                reply,
            } => {
                if self.slots[router].is_frozen {
                    self.deliveries.push(Delivery::Reply {
                        router,
                        ticket,
                        reply,
                    });
                    return;
                }
                let receiver = self.slots[router].router.to_string();
                self.record_event("reply", &receiver, &(ticket.number, &reply));
                self.with_manager(router, |manager, now, members, outbox| {
                    manager.on_platform(now, ticket, reply, members, outbox);
                });
            }
            Delivery::DelayedCall { call } => {
                self.store.apply(call);
            }
        }
    }

    fn is_held(&self, delivery: &Delivery) -> bool {
        match delivery {
            Delivery::Peer { to, .. } => self.slots[*to].is_frozen,
            Delivery::Reply { router, .. } => self.slots[*router].is_frozen,
            Delivery::Call { .. } | Delivery::DelayedCall { .. } => false,
        }
    }

    /// Delivers everything in flight, including what follows from it.
    pub fn settle_network(&mut self) {
        for _ in 0..20_000 {
            let next =
                (0..self.deliveries.len()).find(|index| !self.is_held(&self.deliveries[*index]));
            let Some(index) = next else {
                return;
            };
            self.deliver(index);
        }
        panic!("the network did not become idle after 20,000 deliveries");
    }

    /// Advances time in steps of one tick of 50 ms and delivers everything after each.
    pub fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms.div_ceil(50) {
            self.advance(50);
            self.settle_network();
        }
    }

    pub fn crash(&mut self, index: usize) {
        self.slots[index].manager = None;
        let router = self.slots[index].router.to_string();
        self.record_event("crash", &router, &());
    }

    /// Sets the liveness of a router as seen by the other routers of its domain.
    pub fn set_liveness(&mut self, index: usize, liveness: MemberLiveness) {
        let router = self.slots[index].router.clone();
        let domain = self.slots[index].domain.clone();
        self.slots[index].is_gone = liveness == MemberLiveness::Gone;
        let signal = match liveness {
            MemberLiveness::Live => CoreSignal::MemberUp(router.clone()),
            MemberLiveness::Down => CoreSignal::MemberDown(router.clone()),
            MemberLiveness::Gone => CoreSignal::MemberGone(router.clone()),
        };
        for other in 0..self.slots.len() {
            if other == index || self.slots[other].domain != domain {
                continue;
            }
            let mut entry = member(&router, &domain);
            entry.liveness = liveness;
            if self.slots[index].is_draining {
                entry.state = RouterState::Draining;
            }
            self.slots[other].members.insert(router.clone(), entry);
            self.with_manager(other, |manager, now, members, outbox| {
                manager.on_signal(now, &signal, members, outbox);
            });
        }
    }

    pub fn drain(&mut self, index: usize) {
        self.slots[index].is_draining = true;
        self.slots[index].members.set_draining();
        let router = self.slots[index].router.clone();
        let domain = self.slots[index].domain.clone();
        for other in 0..self.slots.len() {
            if other != index && self.slots[other].domain == domain {
                let mut entry = member(&router, &domain);
                entry.state = RouterState::Draining;
                self.slots[other].members.insert(router.clone(), entry);
            }
        }
        self.with_manager(index, |manager, now, members, outbox| {
            manager.drain(now, members, outbox);
        });
    }
}
