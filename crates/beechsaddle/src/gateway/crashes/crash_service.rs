//! The `crash_service` module provides the answers to other routers about crashes and trials.

use std::rc::Rc;

use beechsaddle_core::gateway::TrialReply;
use beechsaddle_wire::lending_capnp::crash_listener;

use super::crash_broadcast::receive_crash_reports;
use super::crash_link::{read_crash, read_key};
use super::crash_trial::begin_trial;
use super::trial_guard::end_trial;
use crate::gateway::peer_server::PeerServer;

impl crash_listener::Server for PeerServer {
    async fn note_crashes(
        self: Rc<Self>,
        parameters: crash_listener::NoteCrashesParams,
        _: crash_listener::NoteCrashesResults,
    ) -> Result<(), capnp::Error> {
        let parameters = parameters.get()?;
        self.check_secret(parameters.get_secret()?)?;
        let now = self.state.now();
        let mut reports = Vec::new();
        for message in parameters.get_notes()?.iter() {
            reports.push(read_crash(message, now)?);
        }
        receive_crash_reports(&self.state, reports, parameters.get_is_spread());
        Ok(())
    }

    async fn begin_trial(
        self: Rc<Self>,
        parameters: crash_listener::BeginTrialParams,
        mut results: crash_listener::BeginTrialResults,
    ) -> Result<(), capnp::Error> {
        let parameters = parameters.get()?;
        self.check_secret(parameters.get_secret()?)?;
        let key = read_key(parameters.get_fingerprint()?)?;
        let mut answer = results.get();
        match begin_trial(&self.state, key) {
            TrialReply::Granted => answer.set_is_granted(true),
            TrialReply::Wait { wait_ms } => answer.set_wait_ms(wait_ms),
        }
        Ok(())
    }

    async fn end_trial(
        self: Rc<Self>,
        parameters: crash_listener::EndTrialParams,
        _: crash_listener::EndTrialResults,
    ) -> Result<(), capnp::Error> {
        let parameters = parameters.get()?;
        self.check_secret(parameters.get_secret()?)?;
        end_trial(&self.state, read_key(parameters.get_fingerprint()?)?);
        Ok(())
    }
}
