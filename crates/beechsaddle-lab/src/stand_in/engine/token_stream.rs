//! The `token_stream` module provides the body of a streamed answer.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use http_body::Frame;

use super::chat_answer::ChatAnswer;
use super::engine_service::{BatchPlace, EngineService};
use crate::stand_in::run_ledger::RunGuard;

/// A streamed answer on its way. Dropping it, as when the client hangs up, cancels the run.
pub(super) struct TokenStream {
    pub(super) service: Arc<EngineService>,
    pub(super) answer: ChatAnswer,
    pub(super) place: BatchPlace,
    pub(super) guard: RunGuard,
    pub(super) sent: u64,
    /// After how many tokens the answer breaks off.
    pub(super) dies_after: Option<u64>,
}

impl TokenStream {
    /// The parts of the body, each when it is due.
    pub(super) fn into_frames(self) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send {
        futures::stream::unfold(Some(self), |stream| async {
            let mut stream = stream?;
            if stream.dies_after == Some(stream.sent) {
                let broken_off = io::Error::other("broken off on purpose");
                return Some((Err(broken_off), None));
            }
            if stream.sent == stream.answer.proof.tokens {
                stream.complete();
                return None;
            }
            let frame = stream.next_frame().await;
            Some((Ok(frame), Some(stream)))
        })
    }

    async fn next_frame(&mut self) -> Frame<Bytes> {
        let pause = match self.sent {
            0 => Duration::ZERO,
            _ => self.service.token_time(),
        };
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        let events = self.answer.events(self.sent);
        self.sent += 1;
        self.guard.token();
        Frame::data(Bytes::from(events))
    }

    /// Notes all tokens of an answer that is sent in one, and its end.
    pub(super) fn complete(mut self) {
        while self.sent < self.answer.proof.tokens {
            self.sent += 1;
            self.guard.token();
        }
        self.guard.complete();
        drop(self.place);
    }
}
