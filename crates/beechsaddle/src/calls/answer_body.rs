//! The `answer_body` module provides the body of an answer that is relayed while the target sends
//! it.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use beechsaddle_core::call::{AnswerEnd, CallAction};
use bytes::Bytes;
use http_body::{Body, Frame};
use tokio::sync::mpsc;
use tokio::time::{Instant, Sleep};

use super::answer_tail::AnswerTail;
use super::call_guard::CallGuard;
use super::connection_tracker::ConnectionTracker;

/// Minimum interval between two progress reports of a stream to the core.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// State of the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayStage {
    /// Data is forwarded to the caller as it arrives.
    Relaying,
    /// The answer is complete; its last part is held back until the core releases it.
    Holding,
    /// The last part has been sent to the caller, or the answer was aborted.
    Ended,
}

/// Body of a target's answer on its way to the caller.
///
/// The caller's connection pulls: data is read from the target only when the caller's connection
/// has room for it, so a slow caller slows its target down and uses no memory. When the caller
/// disconnects, the body is dropped, and with it the target's connection and the call's guard.
pub(crate) struct AnswerBody {
    target: Option<volo_http::body::Body>,
    tail: AnswerTail,
    stage: RelayStage,
    guard: CallGuard,
    actions: mpsc::Receiver<CallAction>,
    tracker: ConnectionTracker,
    idle: Duration,
    idle_timer: Option<Pin<Box<Sleep>>>,
    waits_since: Option<Instant>,
    last_progress: Instant,
}

/// An answer that ended before it was complete; the caller's connection is closed with a reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BrokenAnswer;

impl fmt::Display for BrokenAnswer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the target's answer ended before it was complete")
    }
}

impl std::error::Error for BrokenAnswer {}

impl AnswerBody {
    /// Relays the body `target` for the call of `guard`.
    pub(crate) fn new(
        target: volo_http::body::Body,
        tail: AnswerTail,
        guard: CallGuard,
        actions: mpsc::Receiver<CallAction>,
        tracker: ConnectionTracker,
    ) -> Self {
        let idle = Duration::from_millis(guard.state().options.answer_idle_ms);
        AnswerBody {
            target: Some(target),
            tail,
            stage: RelayStage::Relaying,
            guard,
            actions,
            tracker,
            idle,
            idle_timer: None,
            waits_since: None,
            last_progress: Instant::now(),
        }
    }

    /// Relays the next part; returns `None` once the answer is complete.
    fn poll_relay(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, BrokenAnswer>> {
        if self.is_aborted(context) {
            return Poll::Ready(Err(BrokenAnswer));
        }
        loop {
            let Some(target) = self.target.as_mut() else {
                return Poll::Ready(Err(BrokenAnswer));
            };
            let frame = match Pin::new(target).poll_frame(context) {
                Poll::Ready(frame) => frame,
                Poll::Pending => {
                    ready!(self.poll_idle(context));
                    return Poll::Ready(Err(BrokenAnswer));
                }
            };
            self.waits_since = None;
            let part = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return Poll::Ready(Err(BrokenAnswer)),
                None if self.tail.is_complete_at_end() => return Poll::Ready(Ok(None)),
                None => return Poll::Ready(Err(BrokenAnswer)),
            };
            let part = self.tail.push(part).map_err(|_| BrokenAnswer)?;
            self.guard.record_usage(self.tail.usage());
            self.report_progress();
            if !part.is_empty() {
                return Poll::Ready(Ok(Some(part)));
            }
            if self.tail.is_done() {
                return Poll::Ready(Ok(None));
            }
        }
    }

    /// Whether the core has aborted the answer. Polls until no action is left, since only a pending
    /// poll registers the waker for the next one.
    fn is_aborted(&mut self, context: &mut Context<'_>) -> bool {
        loop {
            match self.actions.poll_recv(context) {
                Poll::Ready(Some(CallAction::Abort { .. }) | None) => return true,
                Poll::Ready(Some(_)) => {}
                Poll::Pending => return false,
            }
        }
    }

    /// Ready when the target has sent nothing for the idle limit. Time in which the caller accepted
    /// no data does not count, since the target is not read then.
    fn poll_idle(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let waits_since = *self.waits_since.get_or_insert_with(Instant::now);
        let deadline = waits_since + self.idle;
        let timer = self
            .idle_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        loop {
            ready!(timer.as_mut().poll(context));
            if timer.deadline() >= deadline {
                return Poll::Ready(());
            }
            timer.as_mut().reset(deadline);
        }
    }

    fn report_progress(&mut self) {
        let is_stream = matches!(self.tail, AnswerTail::Events(_));
        if is_stream && self.last_progress.elapsed() >= PROGRESS_INTERVAL {
            self.last_progress = Instant::now();
            self.guard.report_progress();
        }
    }

    /// Waits until the core releases or aborts the held-back last part.
    fn poll_hold(&mut self, context: &mut Context<'_>) -> Poll<Result<Bytes, BrokenAnswer>> {
        self.drain_target(context);
        loop {
            match ready!(self.actions.poll_recv(context)) {
                Some(CallAction::Finish { .. }) => return Poll::Ready(Ok(self.tail.take())),
                Some(CallAction::Abort { .. }) | None => return Poll::Ready(Err(BrokenAnswer)),
                Some(_) => {}
            }
        }
    }

    /// Reads the remaining frames of the body, so that the target's connection can be reused.
    fn drain_target(&mut self, context: &mut Context<'_>) {
        while let Some(target) = self.target.as_mut() {
            match Pin::new(target).poll_frame(context) {
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(Some(Err(_)) | None) => self.target = None,
                Poll::Pending => return,
            }
        }
    }

    fn abort(&mut self) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        self.stage = RelayStage::Ended;
        self.target = None;
        self.guard.end_answer(AnswerEnd::Truncated);
        self.tracker.mark_broken();
        Poll::Ready(Some(Err(BrokenAnswer)))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        loop {
            match self.stage {
                RelayStage::Relaying => match ready!(self.poll_relay(context)) {
                    Ok(Some(part)) => return Poll::Ready(Some(Ok(Frame::data(part)))),
                    Ok(None) => {
                        self.stage = RelayStage::Holding;
                        self.guard.end_answer(AnswerEnd::Complete);
                    }
                    Err(BrokenAnswer) => return self.abort(),
                },
                RelayStage::Holding => match ready!(self.poll_hold(context)) {
                    Ok(tail) => {
                        self.stage = RelayStage::Ended;
                        self.target = None;
                        if !tail.is_empty() {
                            return Poll::Ready(Some(Ok(Frame::data(tail))));
                        }
                    }
                    Err(BrokenAnswer) => return self.abort(),
                },
                RelayStage::Ended => return Poll::Ready(None),
            }
        }
    }
}
