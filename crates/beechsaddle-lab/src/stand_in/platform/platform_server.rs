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

/// A running platform stand-in; it stops when this is dropped.
#[derive(Debug)]
pub struct PlatformServer {
    server: StandInServer,
    service: Arc<PlatformService>,
}

impl PlatformServer {
    /// Starts one.
    pub fn try_start(options: PlatformOptions) -> eyre::Result<Self> {
        let gate = ListenGate::new();
        let listen = options.listen;
        let service = Arc::new(PlatformService::new(options, gate.clone()));
        let server = StandInServer::try_start(listen, gate, Arc::clone(&service))?;
        Ok(PlatformServer { server, service })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces what is wrong at the platform.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.service.set_faults(faults);
    }

    /// What was asked of it so far.
    pub fn counters(&self) -> PlatformCounters {
        self.service.counters()
    }

    /// Writes an object whatever its version is.
    pub fn put(&self, key: &str, object: &PlatformObject) -> eyre::Result<u64> {
        self.put_bytes(key, encode_object(object)?)
    }

    /// Writes bytes whatever the object's version is.
    pub fn put_bytes(&self, key: &str, bytes: Vec<u8>) -> eyre::Result<u64> {
        let guard = match self.service.version(key) {
            Some(version) => ChangeGuard::Version(version),
            None => ChangeGuard::Absent,
        };
        self.service
            .change(key, bytes, guard)
            .ok_or_else(|| eyre::eyre!("{key} was written by another at the same time"))
    }

    /// The value of an object.
    pub fn bytes(&self, key: &str) -> Option<Vec<u8>> {
        self.service.value(key)
    }

    /// Writes the list of a domain's hosts.
    pub fn set_hosts(&self, domain: &DomainName, hosts: HostList) -> eyre::Result<u64> {
        self.put(&format!("hosts/{domain}"), &PlatformObject::Hosts(hosts))
    }

    /// Waits until the process ends.
    pub fn join(self) {
        self.server.join();
    }
}
