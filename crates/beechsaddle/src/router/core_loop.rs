//! The `core_loop` module provides the thread that feeds events to the core and hands out actions.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, select_biased};
use eyre::{Result, WrapErr};

use beechsaddle_core::event::TICK_MS;
use beechsaddle_core::prelude::*;
use beechsaddle_core::router::RouterCore;

use super::clock_source::ClockSource;
use crate::calls::CallsHandle;
use crate::peers::PeersHandle;
use crate::platform::PlatformHandle;
use crate::report::ReportHandle;

/// The edges that carry out actions.
pub struct EdgeHandles {
    /// Towards callers and targets.
    pub calls: CallsHandle,
    /// Towards the platform.
    pub platform: PlatformHandle,
    /// Towards other routers.
    pub peers: PeersHandle,
    /// Logs and metrics.
    pub report: ReportHandle,
}

/// The receiving ends of the rings into the core.
pub struct EventSources {
    /// From the calls edge.
    pub calls: Receiver<CoreEvent>,
    /// From the platform edge.
    pub platform: Receiver<CoreEvent>,
    /// From the peers edge.
    pub peers: Receiver<CoreEvent>,
    /// From the process itself.
    pub control: Receiver<CoreEvent>,
}

/// Runs the core until it asks to exit.
pub struct CoreLoop {
    core: RouterCore,
    clock: ClockSource,
    edges: EdgeHandles,
    outbox: CoreOutbox,
    next_tick: Instant,
    /// Platform calls that found no place; the core hears of them before anything else.
    refused: VecDeque<CoreEvent>,
}

impl CoreLoop {
    /// A loop that has not run.
    pub fn new(core: RouterCore, clock: ClockSource, edges: EdgeHandles) -> Self {
        CoreLoop {
            core,
            clock,
            edges,
            outbox: CoreOutbox::new(),
            next_tick: Instant::now(),
            refused: VecDeque::new(),
        }
    }

    /// Feeds events until the core asks to exit.
    ///
    /// # Errors
    ///
    /// When the thread of an edge has ended: without its edges the core can end no call.
    pub fn run(mut self, sources: &EventSources) -> Result<EdgeHandles> {
        let mut exits = self.step(CoreEvent::Started);
        while !exits {
            let event = self.next_event(sources)?;
            exits = self.step(event);
        }
        // Calls that came while the core decided to exit get their refusal now.
        while let Ok(event) = sources.calls.try_recv() {
            self.step(event);
        }
        Ok(self.edges)
    }

    /// The next event: a due tick first, so that a flood cannot hold back timeouts, then control,
    /// the platform and peers, whose events end calls, and last the calls edge.
    fn next_event(&mut self, sources: &EventSources) -> Result<CoreEvent> {
        if let Some(event) = self.refused.pop_front() {
            return Ok(event);
        }
        let now = Instant::now();
        if now >= self.next_tick {
            self.next_tick = now + Duration::from_millis(TICK_MS);
            return Ok(CoreEvent::Tick);
        }
        let wait = self.next_tick - now;
        select_biased! {
            recv(sources.control) -> event => event.wrap_err("the ring of the edge `control` has ended"),
            recv(sources.platform) -> event => event.wrap_err("the ring of the edge `platform` has ended"),
            recv(sources.peers) -> event => event.wrap_err("the ring of the edge `peers` has ended"),
            recv(sources.calls) -> event => event.wrap_err("the ring of the edge `calls` has ended"),
            default(wait) => Ok(CoreEvent::Tick),
        }
    }

    /// Handles one event. Tells whether the core asked to exit.
    fn step(&mut self, event: CoreEvent) -> bool {
        let now = self.clock.now();
        self.core.handle(now, event, &mut self.outbox);
        self.edges.calls.set_serving(self.core.is_serving());
        let mut exits = false;
        for action in std::mem::take(&mut self.outbox.actions) {
            exits |= self.carry_out(action);
        }
        exits
    }

    /// Hands an action to its edge. Tells whether it is the exit.
    fn carry_out(&mut self, action: CoreAction) -> bool {
        match action {
            CoreAction::Call(_) | CoreAction::Target(_) | CoreAction::Status { .. } => {
                self.edges.calls.send(action);
            }
            CoreAction::Platform { ticket, call } => {
                if let Err(reply) = self.edges.platform.send(ticket, call) {
                    self.refused
                        .push_back(CoreEvent::Platform { ticket, reply });
                }
            }
            CoreAction::Peer {
                to,
                address,
                message,
            } => {
                self.edges.peers.send(to, address, message);
            }
            CoreAction::Report(action) => self.edges.report.send(action),
            CoreAction::Exit => return true,
        }
        false
    }
}
