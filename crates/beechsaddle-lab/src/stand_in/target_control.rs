//! The `target_control` module provides the control calls that engines and plain services share: to
//! set faults, to read the executed requests, and to announce that the target leaves.

use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};

use beechsaddle_core::members::HostState;

use super::fault_picker::FaultPicker;
use super::listen_gate::ListenGate;
use super::responses;
use super::run_ledger::RunLedger;
use super::stand_in_server::StandInResponse;
use super::target_faults::TargetFaults;

/// The state of a target that control calls read and change.
#[derive(Debug)]
pub struct TargetControl {
    pub(super) faults: FaultPicker,
    pub(super) ledger: RunLedger,
    leaving: AtomicBool,
}

impl TargetControl {
    pub(super) fn new(seed: u64, gate: ListenGate) -> Self {
        TargetControl {
            faults: FaultPicker::new(seed, gate),
            ledger: RunLedger::default(),
            leaving: AtomicBool::new(false),
        }
    }

    /// Reports the target as leaving from now on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns the state that health checks report: live or leaving.
    pub fn state(&self) -> HostState {
        if self.leaving.load(Ordering::Relaxed) {
            HostState::Leaving
        } else {
            HostState::Live
        }
    }

    /// Handles a control call; `None` for any other request.
    pub(super) fn respond(&self, request: &Request<Bytes>) -> Option<StandInResponse> {
        let response = match (request.method(), request.uri().path()) {
            (&Method::POST, "/faults") => self.set_faults(request.body()),
            (&Method::DELETE, "/faults") => {
                self.faults.set(TargetFaults::default());
                responses::status(StatusCode::OK)
            }
            (&Method::GET, "/ran") => responses::json(StatusCode::OK, &self.ledger.report()),
            (&Method::POST, "/leave") => {
                self.leave();
                responses::status(StatusCode::OK)
            }
            _ => return None,
        };
        Some(response)
    }

    fn set_faults(&self, body: &[u8]) -> StandInResponse {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.faults.set(faults);
                responses::status(StatusCode::OK)
            }
            Err(error) => responses::bytes(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

/// Returns a header as text, empty if it is missing or not text.
pub(super) fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
