//! The `shutdown_signals` module provides the handling of SIGTERM and SIGINT.

use std::thread;

use crossbeam_channel::Sender;
use eyre::{Result, WrapErr};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use beechsaddle_core::prelude::*;

/// Exit status after a second signal, which aborts open calls.
pub const EXIT_CALLS_ABORTED: i32 = 3;

/// Turns the first SIGTERM or SIGINT into a graceful shutdown. The second one ends the process at
/// once: the operator accepts aborted calls, whose bills are still held by the journal and the
/// backup routers.
pub fn watch(control: Sender<CoreEvent>) -> Result<()> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).wrap_err("cannot register signal handlers")?;
    let watcher = move || {
        for count in signals.forever().enumerate().map(|(count, _)| count) {
            match count {
                0 => {
                    let _ = control.try_send(CoreEvent::Drain);
                }
                _ => std::process::exit(EXIT_CALLS_ABORTED),
            }
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(watcher)
        .wrap_err("cannot start the signal thread")?;
    Ok(())
}
