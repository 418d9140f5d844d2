//! The `world_network` module provides deliveries and faults.

use beechsaddle_core::members::MemberLiveness;
use beechsaddle_core::peer::RouterState;
use beechsaddle_core::platform::PlatformReply;
use beechsaddle_core::prelude::*;

use super::{Flight, MoneyWorld, member};

impl MoneyWorld {
    fn is_cut(&self, left: usize, right: usize) -> bool {
        let left = &self.slots[left].domain;
        let right = &self.slots[right].domain;
        left != right && (self.cut_domains.contains(left) || self.cut_domains.contains(right))
    }

    fn is_away(&self, router: usize) -> bool {
        self.is_platform_down || self.cut_domains.contains(&self.slots[router].domain)
    }

    /// Lets one flight arrive. What is meant for a frozen router stays on its way.
    pub fn deliver(&mut self, index: usize) {
        let flight = self.flights.remove(index);
        match flight {
            Flight::Peer { from, to, message } => {
                if self.is_cut(from, to) {
                    return;
                }
                if self.slots[to].is_frozen {
                    self.flights.push(Flight::Peer { from, to, message });
                    return;
                }
                let sender = self.slots[from].router.clone();
                let receiver = self.slots[to].router.to_string();
                self.note("hears", &receiver, &(sender.to_string(), &message));
                self.with_desk(to, |desk, now, members, outbox| {
                    desk.on_peer(now, &sender, message, members, outbox);
                });
            }
            Flight::Call {
                router,
                ticket,
                call,
            } => {
                let reply = if self.is_away(router) {
                    PlatformReply::Unreachable
                } else {
                    self.store.apply(call)
                };
                self.flights.push(Flight::Reply {
                    router,
                    ticket,
                    reply,
                });
            }
            Flight::Reply {
                router,
                ticket,
                reply,
            } => {
                if self.slots[router].is_frozen {
                    self.flights.push(Flight::Reply {
                        router,
                        ticket,
                        reply,
                    });
                    return;
                }
                let receiver = self.slots[router].router.to_string();
                self.note("reply", &receiver, &(ticket.number, &reply));
                self.with_desk(router, |desk, now, members, outbox| {
                    desk.on_platform(now, ticket, reply, members, outbox);
                });
            }
            Flight::Straggler { call } => {
                self.store.apply(call);
            }
        }
    }

    fn is_held(&self, flight: &Flight) -> bool {
        match flight {
            Flight::Peer { to, .. } => self.slots[*to].is_frozen,
            Flight::Reply { router, .. } => self.slots[*router].is_frozen,
            Flight::Call { .. } | Flight::Straggler { .. } => false,
        }
    }

    /// Delivers everything that is on its way, and what follows from it.
    pub fn settle_network(&mut self) {
        for _ in 0..20_000 {
            let next = (0..self.flights.len()).find(|index| !self.is_held(&self.flights[*index]));
            let Some(index) = next else {
                return;
            };
            self.deliver(index);
        }
        panic!("the network never comes to rest");
    }

    /// Lets time pass in steps of one tick, with everything delivered at once.
    pub fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms.div_ceil(50) {
            self.advance(50);
            self.settle_network();
        }
    }

    pub fn crash(&mut self, index: usize) {
        self.slots[index].desk = None;
        let router = self.slots[index].router.to_string();
        self.note("crash", &router, &());
    }

    /// Changes how alive the others of its domain think a router is.
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
            self.with_desk(other, |desk, now, members, outbox| {
                desk.on_signal(now, &signal, members, outbox);
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
        self.with_desk(index, |desk, now, members, outbox| {
            desk.drain(now, members, outbox);
        });
    }
}
