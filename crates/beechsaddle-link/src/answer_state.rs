//! The `answer_state` module provides whether the request on a connection is still unanswered, and the
//! close of the connection that follows from it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::LinkStream;

/// What is known of the answer to the last request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum AnswerPhase {
    /// It was read whole, or there was no request yet.
    #[default]
    Whole,
    /// It is waited for or being read.
    Awaited,
    /// Nobody reads it any more.
    GivenUp,
}

/// The state of the answer on one connection.
#[derive(Default)]
pub(crate) struct AnswerState {
    inner: Mutex<StateInner>,
}

#[derive(Default)]
struct StateInner {
    phase: AnswerPhase,
    /// The stream, if HTTP is done with it before the reader has reached the end of the answer.
    ended: Option<Box<dyn LinkStream>>,
}

impl AnswerState {
    /// Records that a request begins, and returns the reader of its answer.
    pub(crate) fn begin(self: &Arc<Self>) -> AnswerReader {
        self.lock().phase = AnswerPhase::Awaited;
        AnswerReader {
            state: Some(Arc::clone(self)),
        }
    }

    /// Records that nobody reads the rest of an answer.
    pub(crate) fn give_up(&self) {
        self.leave_awaited(AnswerPhase::GivenUp);
    }

    /// Whether a request has no whole answer.
    pub(crate) fn is_unanswered(&self) -> bool {
        self.lock().phase != AnswerPhase::Whole
    }

    /// Closes the stream: regularly after a whole answer, otherwise by a reset. The reader decides if
    /// it has not reached the end of the answer yet.
    pub(crate) fn close(&self, stream: impl LinkStream) {
        let mut inner = self.lock();
        match inner.phase {
            AnswerPhase::Whole => {}
            AnswerPhase::Awaited => inner.ended = Some(Box::new(stream)),
            AnswerPhase::GivenUp => reset(&stream),
        }
    }

    fn leave_awaited(&self, phase: AnswerPhase) {
        let mut inner = self.lock();
        if inner.phase != AnswerPhase::Awaited {
            return;
        }
        inner.phase = phase;
        let ended = inner.ended.take();
        if let Some(stream) = ended.filter(|_| phase == AnswerPhase::GivenUp) {
            reset(stream.as_ref());
        }
    }

    fn lock(&self) -> MutexGuard<'_, StateInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl std::fmt::Debug for AnswerState {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let phase = self.lock().phase;
        formatter.debug_tuple("AnswerState").field(&phase).finish()
    }
}

/// Without a reset, the operating system goes on sending the request after the close, and the server may
/// run it long after its caller has left.
fn reset(stream: &(impl LinkStream + ?Sized)) {
    // A connection that is already gone needs no reset.
    let _ = stream.set_zero_linger();
}

/// The reader of one answer. Dropping it before the end gives the request up.
#[derive(Debug)]
pub(crate) struct AnswerReader {
    /// `None` once the answer was read whole.
    state: Option<Arc<AnswerState>>,
}

impl AnswerReader {
    /// Records that the answer was read whole.
    pub(crate) fn finish(&mut self) {
        if let Some(state) = self.state.take() {
            state.leave_awaited(AnswerPhase::Whole);
        }
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        if let Some(state) = self.state.take() {
            state.give_up();
        }
    }
}
