//! The `process` module provides the start and the end of a router's process.

use std::time::Duration;

use eyre::{Result, WrapErr, eyre};

use beechsaddle_core::prelude::*;
use beechsaddle_core::router::RouterCore;

use super::clock_source::ClockSource;
use super::core_loop::{CoreLoop, EdgeHandles, EventSources};
use super::core_rings::CoreRings;
use super::router_setup::RouterSetup;
use super::shutdown_signals;
use crate::calls::CallsEdge;
use crate::peers::PeersEdge;
use crate::platform::PlatformEdge;
use crate::report::ReportEdge;

use crate::settings::RouterSettings;

/// Runs a router until it has shut down gracefully.
///
/// # Errors
///
/// If an address is in use, a thread cannot be started, or the core's thread panicked.
pub fn run(settings: &RouterSettings) -> Result<()> {
    let clock = ClockSource::of_process();
    let own_incarnation = RouterIncarnation::new(settings.host.clone(), clock.now().as_millis());
    let setup = RouterSetup::new(settings, own_incarnation.clone());
    let rings = CoreRings::new();
    shutdown_signals::watch(rings.control.sender.clone())?;
    let (report, report_thread) =
        ReportEdge::try_start(setup.report()).wrap_err("cannot start the report edge")?;
    let edges = EdgeHandles {
        platform: PlatformEdge::try_start(
            &setup.platform(),
            &own_incarnation,
            rings.platform.sender,
        )
        .wrap_err("cannot start the platform's client")?,
        peers: PeersEdge::try_start(
            setup.try_peers()?,
            own_incarnation.clone(),
            rings.peers.sender,
            report.clone(),
        )
        .wrap_err("cannot listen for peers")?,
        calls: CallsEdge::try_start(setup.calls(), own_incarnation.clone(), rings.calls.sender)
            .wrap_err("cannot listen for callers")?,
        report,
    };
    edges
        .report
        .send(setup.started_line(edges.calls.call_address()));
    let core = RouterCore::new(setup.core());
    let sources = EventSources {
        calls: rings.calls.receiver,
        platform: rings.platform.receiver,
        peers: rings.peers.receiver,
        control: rings.control.receiver,
    };
    // The core has released the last parts of all answers; slow callers may still be reading them.
    let exit_timeout = Duration::from_millis(settings.limits.drain_ms);
    let core_loop = CoreLoop::new(core, clock, edges, exit_timeout);
    let thread = std::thread::Builder::new()
        .name("core".to_owned())
        .spawn(move || core_loop.run(&sources))
        .wrap_err("cannot start the core's thread")?;
    // Without its core the process cannot end any call, so it exits instead of appearing alive.
    let edges = thread
        .join()
        .map_err(|_| eyre!("the core's thread panicked"))??;
    let EdgeHandles {
        calls,
        platform,
        peers,
        report,
    } = edges;
    let cut_connections = calls.stop(Duration::ZERO);
    report.send(RouterSetup::exiting_line(cut_connections));
    peers.stop();
    drop(platform);
    // The report thread ends with its last handle, after it has written every line.
    drop(report);
    let _ = report_thread.join();
    Ok(())
}
