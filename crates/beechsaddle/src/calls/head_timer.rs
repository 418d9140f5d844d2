//! The `head_timer` module provides the time limit for one request head.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// Time limit that runs from the first byte of a request head to its end.
///
/// The HTTP connection has a single time limit, which starts at the end of the last answer. Callers
/// and load balancers keep idle connections open for a minute; a head that arrives byte by byte
/// could take as long, and a few thousand of such connections would lock out all other callers.
pub(crate) struct HeadTimer {
    span: Duration,
    request: Option<u64>,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl HeadTimer {
    /// Creates a stopped timer.
    pub(crate) fn new(span: Duration) -> Self {
        HeadTimer {
            span,
            request: None,
            sleep: None,
        }
    }

    /// Starts the timer at the first bytes of the awaited request.
    pub(crate) fn start(&mut self, request: u64) {
        if self.request == Some(request) {
            return;
        }
        self.request = Some(request);
        let deadline = Instant::now() + self.span;
        match self.sleep.as_mut() {
            Some(sleep) => sleep.as_mut().reset(deadline),
            None => self.sleep = Some(Box::pin(tokio::time::sleep_until(deadline))),
        }
    }

    /// Fails if the head of the awaited request exceeded the time limit.
    pub(crate) fn check(&mut self, request: u64, context: &mut Context<'_>) -> io::Result<()> {
        if self.request != Some(request) {
            return Ok(());
        }
        match self
            .sleep
            .as_mut()
            .map(|sleep| sleep.as_mut().poll(context))
        {
            Some(Poll::Ready(())) => Err(io::ErrorKind::TimedOut.into()),
            Some(Poll::Pending) | None => Ok(()),
        }
    }
}
