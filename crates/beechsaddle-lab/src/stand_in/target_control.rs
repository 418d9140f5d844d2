//! The `target_control` module provides what engines and plain services have in common: the calls
//! that set faults, that tell what ran, and that announce the target's leave.

use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};

use beechsaddle_core::members::HostState;

use super::answers;
use super::fault_picker::FaultPicker;
use super::listen_gate::ListenGate;
use super::run_ledger::RunLedger;
use super::stand_in_server::StandInAnswer;
use super::target_faults::TargetFaults;

/// The parts of a target that tests work on.
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

    /// Announces that the target leaves.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the target serves.
    pub fn state(&self) -> HostState {
        if self.leaving.load(Ordering::Relaxed) {
            HostState::Leaving
        } else {
            HostState::Live
        }
    }

    /// Answers a request that is about the stand-in itself.
    pub(super) fn answer(&self, request: &Request<Bytes>) -> Option<StandInAnswer> {
        let answer = match (request.method(), request.uri().path()) {
            (&Method::POST, "/faults") => self.set_faults(request.body()),
            (&Method::DELETE, "/faults") => {
                self.faults.set(TargetFaults::default());
                answers::status(StatusCode::OK)
            }
            (&Method::GET, "/ran") => answers::json(StatusCode::OK, &self.ledger.report()),
            (&Method::POST, "/leave") => {
                self.leave();
                answers::status(StatusCode::OK)
            }
            _ => return None,
        };
        Some(answer)
    }

    fn set_faults(&self, body: &[u8]) -> StandInAnswer {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.faults.set(faults);
                answers::status(StatusCode::OK)
            }
            Err(error) => answers::bytes(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

/// A header as text, empty when there is none.
pub(super) fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
