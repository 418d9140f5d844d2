//! The `idle_timer` module provides the time limit for the wait for a request.

use std::pin::Pin;
use std::task::Context;
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// The longest time after which an idle connection reads a shorter limit: with 10,000 idle
/// connections, two thousand cheap checks a second.
const RECHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Time limit that runs from the end of one answer to the first byte of the next request.
///
/// The limit is read again when the connection is polled or the timer fires, and the timer goes on
/// for the rest of a longer one. A change of the limit therefore costs nothing at the time of the
/// change.
#[derive(Default)]
pub(crate) struct IdleTimer {
    wait: Option<IdleWait>,
}

struct IdleWait {
    request: u64,
    since: Instant,
    sleep: Pin<Box<Sleep>>,
}

impl IdleTimer {
    /// Whether the wait for a request has exceeded the limit. Wakes the task when that may be so.
    pub(crate) fn is_over(
        &mut self,
        request: u64,
        limit: impl Fn() -> Duration,
        context: &mut Context<'_>,
    ) -> bool {
        let wait = self.start(request, &limit);
        // A limit that is shorter than when the timer was set holds from now on.
        let deadline = next_check(wait.since, limit());
        if deadline < wait.sleep.deadline() {
            wait.sleep.as_mut().reset(deadline);
        }
        while wait.sleep.as_mut().poll(context).is_ready() {
            let limit = limit();
            if wait.since.elapsed() >= limit {
                return true;
            }
            let deadline = next_check(wait.since, limit);
            wait.sleep.as_mut().reset(deadline);
        }
        false
    }

    /// Returns the wait for a request, which begins now unless it has before.
    fn start(&mut self, request: u64, limit: impl Fn() -> Duration) -> &mut IdleWait {
        let now = Instant::now();
        let wait = self.wait.get_or_insert_with(|| IdleWait {
            request,
            since: now,
            sleep: Box::pin(tokio::time::sleep_until(next_check(now, limit()))),
        });
        if wait.request != request {
            wait.request = request;
            wait.since = now;
            wait.sleep.as_mut().reset(next_check(now, limit()));
        }
        wait
    }
}

fn next_check(since: Instant, limit: Duration) -> Instant {
    let recheck_at = Instant::now() + RECHECK_INTERVAL;
    recheck_at.min(since + limit)
}
