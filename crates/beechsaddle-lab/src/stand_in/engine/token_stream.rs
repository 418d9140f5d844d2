//! The `token_stream` module provides the body of a streamed response.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use http_body::Frame;

use super::chat_completion::ChatCompletion;
use super::engine_service::{BatchSlot, EngineService};
use crate::stand_in::run_ledger::RunGuard;

/// A streamed response in progress. Dropping it, as when the client disconnects, cancels the
/// execution.
pub(super) struct TokenStream {
    pub(super) service: Arc<EngineService>,
    pub(super) completion: ChatCompletion,
    pub(super) slot: BatchSlot,
    pub(super) guard: RunGuard,
    pub(super) sent: u64,
    /// The number of tokens after which an injected fault aborts the response.
    pub(super) abort_after: Option<u64>,
}

impl TokenStream {
    /// Returns the body frames, each at the time it is generated.
    pub(super) fn into_frames(self) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send {
        futures::stream::unfold(Some(self), |stream| async {
            let mut stream = stream?;
            if stream.abort_after == Some(stream.sent) {
                let aborted = io::Error::other("response aborted by an injected fault");
                return Some((Err(aborted), None));
            }
            if stream.sent == stream.completion.proof.tokens {
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
        let events = self.completion.events(self.sent);
        self.sent += 1;
        self.guard.token();
        Frame::data(Bytes::from(events))
    }

    /// Records the remaining tokens and the completion of the execution.
    pub(super) fn complete(mut self) {
        while self.sent < self.completion.proof.tokens {
            self.sent += 1;
            self.guard.token();
        }
        self.guard.complete();
        drop(self.slot);
    }
}
