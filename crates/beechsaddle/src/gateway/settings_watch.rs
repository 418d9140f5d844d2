//! The `settings_watch` module provides the reload of changed settings.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::report::LogLevel;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

use super::gateway_settings::GatewaySettings;
use super::gateway_state::GatewayState;

/// Interval between checks of the file without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads settings when the file changes and on SIGHUP.
pub(super) async fn run_settings_watch(path: PathBuf, state: Rc<GatewayState>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            let fields = [("error", error.to_string())];
            state.report.log(LogLevel::Error, "signals_lost", fields);
            return;
        }
    };
    let mut known = std::fs::read_to_string(&path).ok();
    loop {
        let is_signalled = timeout(POLL_INTERVAL, hangup.recv()).await.is_ok();
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => Some(text),
            Err(error) => {
                log_unreadable(&state, &error.to_string());
                continue;
            }
        };
        if text == known && !is_signalled {
            continue;
        }
        known = text;
        apply_settings(&path, &state);
    }
}

fn apply_settings(path: &std::path::Path, state: &GatewayState) {
    match GatewaySettings::try_load(path) {
        Ok(settings) => {
            let before = state.settings();
            state.retries.borrow_mut().set_options(settings.retries);
            let body_bytes = settings.body_memory_bytes();
            state.answer_memory.set_total(body_bytes);
            state.request_memory.set_total(body_bytes);
            state.callers.set_quota(settings.connection_quota());
            let needs_restart = settings.call_address != before.call_address
                || settings.ready_address != before.ready_address
                || settings.store != before.store
                || settings.follows_evacuations() != before.follows_evacuations();
            let fields = [
                ("changed", (settings != *before).to_string()),
                ("needs_restart", needs_restart.to_string()),
            ];
            *state.settings.borrow_mut() = Rc::new(settings);
            state
                .report
                .log(LogLevel::Info, "settings_reloaded", fields);
        }
        // The settings in effect remain.
        Err(findings) => log_unreadable(state, &findings.to_string()),
    }
}

fn log_unreadable(state: &GatewayState, error: &str) {
    let fields = [("error", error.to_owned())];
    state
        .report
        .log(LogLevel::Error, "settings_unreadable", fields);
}
