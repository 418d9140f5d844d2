//! The `tunnel_directory` module provides which routers recently opened no tunnel, and the number of
//! tunnels that this router carries.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use beechsaddle_core::gateway::PeerRecord;
use beechsaddle_core::prelude::*;

/// How long a router that opened no tunnel is not asked again, in milliseconds: a call waits for one
/// that does not answer, and most partitions last for seconds.
const DECLINED_SPAN_MS: u64 = 1_000;

/// The state of tunnels of this router.
#[derive(Debug, Default)]
pub(in crate::gateway) struct TunnelDirectory {
    declined: RefCell<BTreeMap<HostName, ClockTime>>,
    is_isolated: Cell<bool>,
    carried: Cell<usize>,
}

impl TunnelDirectory {
    /// Whether the last call found no router that opened a tunnel.
    pub(in crate::gateway) fn is_isolated(&self) -> bool {
        self.is_isolated.get()
    }

    pub(in crate::gateway) fn set_isolated(&self, is_isolated: bool) {
        self.is_isolated.set(is_isolated);
    }

    /// Whether a router may be asked for a tunnel.
    pub(super) fn may_ask(&self, now: ClockTime, router: &PeerRecord) -> bool {
        let declined = self.declined.borrow();
        let until = declined.get(&router.host);
        until.is_none_or(|until| now >= *until)
    }

    /// Records that a router declined to open a tunnel or did not answer.
    pub(super) fn record_declined(&self, now: ClockTime, router: &PeerRecord) {
        let until = now.plus_ms(DECLINED_SPAN_MS);
        let mut declined = self.declined.borrow_mut();
        declined.retain(|_, until| now < *until);
        declined.insert(router.host.clone(), until);
    }

    /// The number of tunnels that this router carries for others.
    pub(in crate::gateway) fn carried(&self) -> usize {
        self.carried.get()
    }

    pub(super) fn add_carried(&self) {
        self.carried.set(self.carried.get() + 1);
    }

    pub(super) fn remove_carried(&self) {
        self.carried.set(self.carried.get().saturating_sub(1));
    }
}
