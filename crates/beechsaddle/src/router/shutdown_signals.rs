//! The `shutdown_signals` module provides the reaction to SIGTERM and SIGINT.

use std::thread;

use crossbeam_channel::Sender;
use eyre::{Result, WrapErr};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use beechsaddle_core::prelude::*;

/// The exit status after a second signal: open calls were cut.
pub const EXIT_CUT: i32 = 3;

/// Turns the first SIGTERM or SIGINT into a graceful shutdown. The second ends the process at once:
/// an operator who signals twice wants it gone and accepts cut calls, whose bills the journal and
/// the witnesses still hold.
pub fn watch(control: Sender<CoreEvent>) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("cannot watch signals")?;
    let watcher = move || {
        for count in signals.forever().enumerate().map(|(count, _)| count) {
            match count {
                0 => {
                    let _ = control.try_send(CoreEvent::Drain);
                }
                _ => std::process::exit(EXIT_CUT),
            }
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(watcher)
        .wrap_err("cannot start")?;
    Ok(())
}
