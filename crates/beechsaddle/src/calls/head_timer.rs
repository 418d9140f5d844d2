//! The `head_timer` module provides the time limit for one request head.

use std::pin::Pin;
use std::task::Context;
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// Time limit that runs from the first byte of a request head to its end.
///
/// The time that a connection may stay idle is no limit for heads. Callers and load balancers keep
/// idle connections open for a minute; a head that arrives byte by byte could take as long, and a
/// few thousand of such connections would lock out all other callers.
#[derive(Default)]
pub(crate) struct HeadTimer {
    head: Option<ArrivingHead>,
}

struct ArrivingHead {
    request: u64,
    since: Instant,
    sleep: Pin<Box<Sleep>>,
}

impl HeadTimer {
    /// Starts the timer at the first bytes of the awaited request.
    pub(crate) fn start(&mut self, request: u64, limit: Duration) {
        if self.is_started(request) {
            return;
        }
        let since = Instant::now();
        match self.head.as_mut() {
            Some(head) => {
                head.request = request;
                head.since = since;
                head.sleep.as_mut().reset(since + limit);
            }
            None => {
                let sleep = Box::pin(tokio::time::sleep_until(since + limit));
                self.head = Some(ArrivingHead {
                    request,
                    since,
                    sleep,
                });
            }
        }
    }

    /// Whether bytes of a request have arrived.
    pub(crate) fn is_started(&self, request: u64) -> bool {
        self.head
            .as_ref()
            .is_some_and(|head| head.request == request)
    }

    /// Whether the last head has exceeded the limit, which is read again when the timer fires. Wakes
    /// the task when that may be so.
    pub(crate) fn is_over(
        &mut self,
        limit: impl Fn() -> Duration,
        context: &mut Context<'_>,
    ) -> bool {
        let Some(head) = self.head.as_mut() else {
            return false;
        };
        while head.sleep.as_mut().poll(context).is_ready() {
            let limit = limit();
            if head.since.elapsed() >= limit {
                return true;
            }
            head.sleep.as_mut().reset(head.since + limit);
        }
        false
    }
}
