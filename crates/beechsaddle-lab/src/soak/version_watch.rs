//! The `version_watch` module provides the check that a router never goes back to an older
//! configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use beechsaddle_platform_stand_in::{CallRequest, call};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::call_book::{CallBook, EXTRA_CALL};
use super::soak_fleet::{WORKSPACES, version_prefix};

/// How often a router is asked.
const ASK_SPAN: Duration = Duration::from_millis(80);

/// How long an answer is waited for.
const ANSWER_SPAN: Duration = Duration::from_millis(800);

/// What one router is watched by.
#[derive(Clone)]
pub struct VersionWatch {
    /// Where callers reach the router.
    pub router: SocketAddr,
    /// How often its process was started, counted before each start.
    pub starts: Arc<AtomicU64>,
    /// The newest version that was written.
    pub newest: watch::Receiver<u64>,
    /// Where a version that goes back is written down.
    pub book: CallBook,
}

impl VersionWatch {
    /// Asks for ever.
    pub async fn run(self) {
        let (mut seen, mut incarnation) = (1, 0);
        loop {
            sleep(ASK_SPAN).await;
            let starts = self.starts.load(Ordering::SeqCst);
            if starts != incarnation {
                (seen, incarnation) = (1, starts);
            }
            let newest = *self.newest.borrow();
            if ask_version(self.router, newest).await == Some(200) {
                seen = newest;
                continue;
            }
            if seen == 1 {
                continue;
            }
            let answer = ask_version(self.router, seen).await;
            let is_same = self.starts.load(Ordering::SeqCst) == incarnation;
            if answer == Some(404) && is_same {
                let what = format!("{} went back behind version {seen}", self.router);
                self.book.note_broken(what);
            }
        }
    }
}

/// The status of a call on the route that a version added; `None` without an answer.
pub async fn ask_version(router: SocketAddr, version: u64) -> Option<u16> {
    let line = format!("GET {}1", version_prefix(version));
    let mut request = CallRequest::new(&line, &format!("{EXTRA_CALL}version"), WORKSPACES[0].1);
    request.deadline_ms = ANSWER_SPAN.as_millis() as u64;
    let reply = timeout(ANSWER_SPAN, call(router, &request)).await;
    Some(reply.ok()?.ok()?.status)
}
