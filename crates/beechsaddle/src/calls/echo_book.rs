//! The `echo_book` module provides which targets echo the attempt on their answers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};

/// How many targets are remembered; far above the targets of a domain. A full book is begun anew.
const TARGETS_MAX: usize = 16_384;

/// The targets whose last answer named its attempt.
///
/// On a kept connection a late or doubled answer of one call is read as the answer of the next,
/// and one caller gets another's. Only the echo tells the two apart, so that a connection is kept
/// for targets alone that are known to echo; all others get a new one for each call, on which no
/// earlier call's answer can arrive.
#[derive(Debug, Default)]
pub(crate) struct EchoBook {
    echoing: RwLock<BTreeSet<SocketAddr>>,
}

impl EchoBook {
    /// Whether the target's last answer named its attempt.
    pub(crate) fn echoes(&self, target: &SocketAddr) -> bool {
        let echoing = self.echoing.read().unwrap_or_else(PoisonError::into_inner);
        echoing.contains(target)
    }

    /// Notes whether an answer named its attempt.
    pub(crate) fn note(&self, target: SocketAddr, has_echo: bool) {
        if self.echoes(&target) == has_echo {
            return;
        }
        let mut echoing = self.echoing.write().unwrap_or_else(PoisonError::into_inner);
        if !has_echo {
            echoing.remove(&target);
            return;
        }
        if echoing.len() >= TARGETS_MAX {
            echoing.clear();
        }
        echoing.insert(target);
    }
}
