//! The `engine_server` module provides a running engine stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use super::engine_front::EngineFront;
use super::engine_options::EngineOptions;
use super::engine_service::EngineService;
use super::order_desk::EngineOrder;
use crate::stand_in::listen_gate::ListenGate;
use crate::stand_in::run_ledger::RunReport;
use crate::stand_in::stand_in_server::StandInServer;
use crate::stand_in::target_faults::TargetFaults;

/// A running engine stand-in; it stops when this is dropped.
#[derive(Debug)]
pub struct EngineServer {
    server: StandInServer,
    service: Arc<EngineService>,
}

impl EngineServer {
    /// Starts one.
    pub fn try_start(options: EngineOptions) -> eyre::Result<Self> {
        let gate = ListenGate::new();
        let listen = options.listen;
        let service = Arc::new(EngineService::new(options, gate.clone()));
        let front = EngineFront::new(Arc::clone(&service));
        let server = StandInServer::try_start(listen, gate, Arc::new(front))?;
        Ok(EngineServer { server, service })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces what is wrong at it.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.service.control.faults.set(faults);
    }

    /// Announces that it leaves.
    pub fn leave(&self) {
        self.service.control.leave();
    }

    /// What ran so far.
    pub fn ran(&self) -> RunReport {
        self.service.control.ledger.report()
    }

    /// The orders taken so far.
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.service.orders()
    }

    /// Waits until the process ends.
    pub fn join(self) {
        self.server.join();
    }
}
