//! The `head_timer` module provides the time limit on one request head.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// Runs from the first byte of a request head to its end.
///
/// The HTTP connection has one limit only, from the end of the last answer on. Callers and
/// balancers keep idle connections for a minute; a head that drips in could take as long, and a
/// few thousand of such connections would keep everyone else out.
pub(crate) struct HeadTimer {
    span: Duration,
    request: Option<u64>,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl HeadTimer {
    /// A timer that does not run.
    pub(crate) fn new(span: Duration) -> Self {
        HeadTimer {
            span,
            request: None,
            sleep: None,
        }
    }

    /// Notes that bytes of the awaited request came.
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

    /// Fails when the head of the awaited request has taken too long.
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
