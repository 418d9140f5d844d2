//! The `version_watch` module provides the check that a router never reverts to an older
//! configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use beechsaddle_platform_stand_in::{CallRequest, call};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::call_log::{CallLog, EXTRA_CALL};
use super::soak_fleet::{WORKSPACES, version_prefix};

/// The time between two polls of a router.
const POLL_INTERVAL: Duration = Duration::from_millis(80);

/// Timeout of a poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// Polls the configuration version of one router.
#[derive(Clone)]
pub struct VersionWatch {
    /// Call address of the router.
    pub router: SocketAddr,
    /// Number of starts of its process, incremented before each start.
    pub starts: Arc<AtomicU64>,
    /// The latest version that was written.
    pub newest: watch::Receiver<u64>,
    /// The log that violations are recorded in.
    pub log: CallLog,
}

impl VersionWatch {
    /// Polls the router without end.
    pub async fn run(self) {
        let (mut seen, mut incarnation) = (1, 0);
        loop {
            sleep(POLL_INTERVAL).await;
            let starts = self.starts.load(Ordering::SeqCst);
            if starts != incarnation {
                (seen, incarnation) = (1, starts);
            }
            let newest = *self.newest.borrow();
            if probe_version(self.router, newest).await == Some(200) {
                seen = newest;
                continue;
            }
            if seen == 1 {
                continue;
            }
            let answer = probe_version(self.router, seen).await;
            let is_same = self.starts.load(Ordering::SeqCst) == incarnation;
            if answer == Some(404) && is_same {
                let what = format!("{} reverted to a version before {seen}", self.router);
                self.log.record_violation(what);
            }
        }
    }
}

/// Returns the status of a call to the route that a version added; `None` without a response.
pub async fn probe_version(router: SocketAddr, version: u64) -> Option<u16> {
    let line = format!("GET {}1", version_prefix(version));
    let mut request = CallRequest::new(&line, &format!("{EXTRA_CALL}version"), WORKSPACES[0].1);
    request.deadline_ms = RESPONSE_TIMEOUT.as_millis() as u64;
    let reply = timeout(RESPONSE_TIMEOUT, call(router, &request)).await;
    Some(reply.ok()?.ok()?.status)
}
