//! The `platform_server` module provides a running platform stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use beechsaddle_core::members::HostList;
use beechsaddle_core::names::DomainName;
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_wire::encode_object;

use super::object_store::ChangeGuard;
use super::platform_counters::PlatformCounters;
use super::platform_faults::PlatformFaults;
use super::platform_options::PlatformOptions;
use super::platform_service::PlatformService;
use crate::stand_in::listen_gate::ListenGate;
use crate::stand_in::stand_in_server::StandInServer;

/// A running platform stand-in; dropping it stops the server.
#[derive(Debug)]
pub struct PlatformServer {
    server: StandInServer,
    service: Arc<PlatformService>,
}

impl PlatformServer {
    /// Starts a stand-in on a thread of its own.
    pub fn try_start(options: PlatformOptions) -> eyre::Result<Self> {
        let gate = ListenGate::new();
        let listen = options.listen;
        let service = Arc::new(PlatformService::new(options, gate.clone()));
        let server = StandInServer::try_start(listen, gate, Arc::clone(&service))?;
        Ok(PlatformServer { server, service })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all faults and rate limits.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.service.set_faults(faults);
    }

    /// Returns the counts of calls since the start.
    pub fn counters(&self) -> PlatformCounters {
        self.service.counters()
    }

    /// Writes an object regardless of its version, and returns the new version.
    pub fn put(&self, key: &str, object: &PlatformObject) -> eyre::Result<u64> {
        self.put_bytes(key, encode_object(object)?)
    }

    /// Writes bytes regardless of the object's version, and returns the new version.
    pub fn put_bytes(&self, key: &str, bytes: Vec<u8>) -> eyre::Result<u64> {
        let guard = match self.service.version(key) {
            Some(version) => ChangeGuard::Version(version),
            None => ChangeGuard::Absent,
        };
        self.service
            .change(key, bytes, guard)
            .ok_or_else(|| eyre::eyre!("{key} was changed by a concurrent write"))
    }

    /// Returns the value of an object.
    pub fn bytes(&self, key: &str) -> Option<Vec<u8>> {
        self.service.value(key)
    }

    /// Writes the host list of a domain.
    pub fn set_hosts(&self, domain: &DomainName, hosts: HostList) -> eyre::Result<u64> {
        self.put(&format!("hosts/{domain}"), &PlatformObject::Hosts(hosts))
    }

    /// Blocks until the process ends.
    pub fn join(self) {
        self.server.join();
    }
}
