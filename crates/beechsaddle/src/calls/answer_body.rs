//! The `answer_body` module provides answers that are relayed part by part.

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
use super::connection_mark::ConnectionMark;

/// How often the core hears of a stream's progress.
const PROGRESS_SPAN: Duration = Duration::from_secs(1);

/// How far an answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayStage {
    /// Parts of it go to the caller as they come.
    Relaying,
    /// It is whole, and its last part waits for the core.
    Holding,
    /// The last part went to the caller.
    Ended,
}

/// The answer of a target on its way to the caller.
///
/// The caller's connection pulls: a part is read from the target only when the caller's connection
/// has room for it, so that a slow caller slows its target down and costs no memory. When the
/// caller is gone the body is dropped, and with it the target's connection and the call's guard.
pub(crate) struct AnswerBody {
    target: Option<volo_http::body::Body>,
    tail: AnswerTail,
    stage: RelayStage,
    guard: CallGuard,
    actions: mpsc::Receiver<CallAction>,
    mark: ConnectionMark,
    idle: Duration,
    idle_timer: Option<Pin<Box<Sleep>>>,
    waits_since: Option<Instant>,
    last_progress: Instant,
}

/// An answer that broke off; the caller's connection ends in a reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BrokenAnswer;

impl fmt::Display for BrokenAnswer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the target's answer broke off")
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
        mark: ConnectionMark,
    ) -> Self {
        let idle = Duration::from_millis(guard.state().options.answer_idle_ms);
        AnswerBody {
            target: Some(target),
            tail,
            stage: RelayStage::Relaying,
            guard,
            actions,
            mark,
            idle,
            idle_timer: None,
            waits_since: None,
            last_progress: Instant::now(),
        }
    }

    /// Relays the next part; `None` when the answer has become whole.
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
                None if self.tail.is_whole_at_end() => return Poll::Ready(Ok(None)),
                None => return Poll::Ready(Err(BrokenAnswer)),
            };
            let part = self.tail.push(part).map_err(|_| BrokenAnswer)?;
            self.guard.note_usage(self.tail.usage());
            self.tell_progress();
            if !part.is_empty() {
                return Poll::Ready(Ok(Some(part)));
            }
            if self.tail.is_done() {
                return Poll::Ready(Ok(None));
            }
        }
    }

    /// Whether the core wants the answer broken off. Polls until nothing is left, since only then
    /// the next action wakes the answer up.
    fn is_aborted(&mut self, context: &mut Context<'_>) -> bool {
        loop {
            match self.actions.poll_recv(context) {
                Poll::Ready(Some(CallAction::Abort { .. }) | None) => return true,
                Poll::Ready(Some(_)) => {}
                Poll::Pending => return false,
            }
        }
    }

    /// Ready when the target has sent nothing for too long. Time in which the caller took nothing
    /// does not count, since the target was not read then.
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

    fn tell_progress(&mut self) {
        let is_stream = matches!(self.tail, AnswerTail::Events(_));
        if is_stream && self.last_progress.elapsed() >= PROGRESS_SPAN {
            self.last_progress = Instant::now();
            self.guard.tell_progress();
        }
    }

    /// Waits for the core's word on the last part.
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

    /// Reads what follows the last part, so that the target's connection can be used again.
    fn drain_target(&mut self, context: &mut Context<'_>) {
        while let Some(target) = self.target.as_mut() {
            match Pin::new(target).poll_frame(context) {
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(Some(Err(_)) | None) => self.target = None,
                Poll::Pending => return,
            }
        }
    }

    fn break_off(&mut self) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        self.stage = RelayStage::Ended;
        self.target = None;
        self.guard.end_answer(AnswerEnd::Truncated);
        self.mark.break_off();
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
                    Err(BrokenAnswer) => return self.break_off(),
                },
                RelayStage::Holding => match ready!(self.poll_hold(context)) {
                    Ok(tail) => {
                        self.stage = RelayStage::Ended;
                        self.target = None;
                        if !tail.is_empty() {
                            return Poll::Ready(Some(Ok(Frame::data(tail))));
                        }
                    }
                    Err(BrokenAnswer) => return self.break_off(),
                },
                RelayStage::Ended => return Poll::Ready(None),
            }
        }
    }
}
