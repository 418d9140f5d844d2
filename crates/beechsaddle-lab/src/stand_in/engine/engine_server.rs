//! The `engine_server` module provides a running engine stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use super::engine_handler::EngineHandler;
use super::engine_options::EngineOptions;
use super::engine_service::EngineService;
use super::order_manager::EngineOrder;
use crate::stand_in::listen_gate::ListenGate;
use crate::stand_in::run_ledger::RunReport;
use crate::stand_in::stand_in_server::StandInServer;
use crate::stand_in::target_faults::TargetFaults;

/// A running engine stand-in; dropping it stops the server.
#[derive(Debug)]
pub struct EngineServer {
    server: StandInServer,
    service: Arc<EngineService>,
}

impl EngineServer {
    /// Starts a stand-in on a thread of its own.
    pub fn try_start(options: EngineOptions) -> eyre::Result<Self> {
        let gate = ListenGate::new();
        let listen = options.listen;
        let service = Arc::new(EngineService::new(options, gate.clone()));
        let handler = EngineHandler::new(Arc::clone(&service));
        let server = StandInServer::try_start(listen, gate, Arc::new(handler))?;
        Ok(EngineServer { server, service })
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

    /// Returns the accepted orders, oldest first.
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.service.orders()
    }

    /// Blocks until the process ends.
    pub fn join(self) {
        self.server.join();
    }
}
