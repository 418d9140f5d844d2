//! The `plain_server` module provides a running plain service stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use super::plain_options::PlainOptions;
use super::plain_service::PlainService;
use crate::stand_in::listen_gate::ListenGate;
use crate::stand_in::run_ledger::RunReport;
use crate::stand_in::stand_in_server::StandInServer;
use crate::stand_in::target_faults::TargetFaults;

/// A running plain service stand-in; dropping it stops the server.
#[derive(Debug)]
pub struct PlainServer {
    server: StandInServer,
    service: Arc<PlainService>,
}

impl PlainServer {
    /// Starts a stand-in on a thread of its own.
    pub fn try_start(options: PlainOptions) -> eyre::Result<Self> {
        let gate = ListenGate::new();
        let listen = options.listen;
        let service = Arc::new(PlainService::new(&options, gate.clone()));
        let server = StandInServer::try_start(listen, gate, Arc::clone(&service))?;
        Ok(PlainServer { server, service })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.service.control.faults.set(faults);
    }

    /// Reports the state `leaving` from now on.
    pub fn leave(&self) {
        self.service.control.leave();
    }

    /// Returns the requests executed since the start.
    pub fn ran(&self) -> RunReport {
        self.service.control.ledger.report()
    }

    /// Blocks until the process ends.
    pub fn join(self) {
        self.server.join();
    }
}
