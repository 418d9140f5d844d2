//! The `echo_table` module provides the table of targets that echo the attempt id on their answers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};

/// Maximum number of targets in the table; far above the number of targets of a domain. A full
/// table is cleared.
const MAX_TARGETS: usize = 16_384;

/// The targets whose last answer echoed its attempt id.
///
/// On a reused connection, a late or duplicate answer to one call would be read as the answer to
/// the next, and one caller would receive another's answer. Only the echo distinguishes the two, so
/// connections are reused only for targets that are known to echo. All others get a new connection
/// for each call, on which no earlier call's answer can arrive.
#[derive(Debug, Default)]
pub(crate) struct EchoTable {
    echoing: RwLock<BTreeSet<SocketAddr>>,
}

impl EchoTable {
    /// Whether the target's last answer echoed its attempt id.
    pub(crate) fn echoes(&self, target: &SocketAddr) -> bool {
        let echoing = self.echoing.read().unwrap_or_else(PoisonError::into_inner);
        echoing.contains(target)
    }

    /// Records whether an answer echoed its attempt id.
    pub(crate) fn record(&self, target: SocketAddr, has_echo: bool) {
        if self.echoes(&target) == has_echo {
            return;
        }
        let mut echoing = self.echoing.write().unwrap_or_else(PoisonError::into_inner);
        if !has_echo {
            echoing.remove(&target);
            return;
        }
        if echoing.len() >= MAX_TARGETS {
            echoing.clear();
        }
        echoing.insert(target);
    }
}
