//! The `core_loop` module provides the thread that passes events to the core and actions to the
//! edges.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, select_biased};
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
    /// Edge towards callers and targets.
    pub calls: CallsHandle,
    /// Edge towards the platform.
    pub platform: PlatformHandle,
    /// Edge towards other routers.
    pub peers: PeersHandle,
    /// Logs and metrics.
    pub report: ReportHandle,
}

/// The receiving ends of the rings into the core.
pub struct EventSources {
    /// Events of the calls edge.
    pub calls: Receiver<CoreEvent>,
    /// Events of the platform edge.
    pub platform: Receiver<CoreEvent>,
    /// Events of the peers edge.
    pub peers: Receiver<CoreEvent>,
    /// Events of the process itself.
    pub control: Receiver<CoreEvent>,
}

/// Interval at which the calls edge is polled for open connections during the exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Runs the core until it requests the exit and the calls edge has no connection.
pub struct CoreLoop {
    core: RouterCore,
    clock: ClockSource,
    edges: EdgeHandles,
    outbox: CoreOutbox,
    next_tick: Instant,
    /// Time limit for connections of callers to end after the core has requested the exit.
    exit_timeout: Duration,
    /// Replies to platform calls that were refused because too many were in flight; processed before
    /// all other events.
    refused: VecDeque<CoreEvent>,
}

impl CoreLoop {
    pub fn new(
        core: RouterCore,
        clock: ClockSource,
        edges: EdgeHandles,
        exit_timeout: Duration,
    ) -> Self {
        CoreLoop {
            core,
            clock,
            edges,
            outbox: CoreOutbox::new(),
            next_tick: Instant::now(),
            exit_timeout,
            refused: VecDeque::new(),
        }
    }

    /// Processes events until the core requests the exit and the calls edge has no connection.
    ///
    /// # Errors
    ///
    /// If the thread of an edge has ended: without its edges the core cannot end any call.
    pub fn run(mut self, sources: &EventSources) -> Result<EdgeHandles> {
        let mut exits = self.step(CoreEvent::Started);
        while !exits {
            let event = self.next_event(sources)?;
            exits = self.step(event);
        }
        self.refuse_late_calls(sources)?;
        Ok(self.edges)
    }

    /// Answers calls that are read after the core has requested the exit: the rest of a body may
    /// arrive as long as a connection is open.
    fn refuse_late_calls(&mut self, sources: &EventSources) -> Result<()> {
        self.edges.calls.close();
        let deadline = Instant::now() + self.exit_timeout;
        while !self.edges.calls.is_closed() && Instant::now() < deadline {
            match sources.calls.recv_timeout(EXIT_POLL_INTERVAL) {
                Err(RecvTimeoutError::Timeout) => {}
                event => {
                    let event = event.wrap_err("event ring of the `calls` edge was closed")?;
                    self.step(event);
                }
            }
        }
        Ok(())
    }

    /// Returns the next event: a due tick first, so that a flood of events cannot delay timeouts,
    /// then control, the platform and peers, whose events end calls, and last the calls edge.
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
            recv(sources.control) -> event => event.wrap_err("event ring of the `control` edge was closed"),
            recv(sources.platform) -> event => event.wrap_err("event ring of the `platform` edge was closed"),
            recv(sources.peers) -> event => event.wrap_err("event ring of the `peers` edge was closed"),
            recv(sources.calls) -> event => event.wrap_err("event ring of the `calls` edge was closed"),
            default(wait) => Ok(CoreEvent::Tick),
        }
    }

    /// Processes one event. Returns whether the core requested the exit.
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

    /// Passes an action to its edge. Returns whether it is the exit.
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
