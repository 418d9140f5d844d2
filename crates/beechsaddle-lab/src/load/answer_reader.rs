//! The `answer_reader` module provides the check that an answer is whole and the caller's own.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use super::{AnswerTimes, CallOutcome, ReadRefusal, SseLines};
use crate::stand_in::{ChatProof, PlainEcho};

/// Reads the answer of one call.
#[derive(Clone, Debug)]
pub struct AnswerReader {
    /// The mark that the answer has to bear.
    pub mark: String,
    /// When the call should have been sent.
    pub intended: Instant,
}

impl AnswerReader {
    /// Reads a refusal; one that cannot be read counts as broken.
    pub async fn read_refusal(&self, body: Incoming) -> CallOutcome {
        match read_whole(body).await {
            Some(body) => parse_refusal(&body).map_or(CallOutcome::Broken, CallOutcome::Refused),
            None => CallOutcome::Broken,
        }
    }

    /// Reads the answer of a plain service, which has to give the mark back.
    pub async fn read_plain(&self, body: Incoming, tokens: u64) -> CallOutcome {
        let Some(body) = read_whole(body).await else {
            return CallOutcome::Broken;
        };
        match serde_json::from_slice::<PlainEcho>(&body) {
            Ok(echo) if bears_mark(&echo.body, &self.mark) => self.answered(tokens),
            Ok(_) => CallOutcome::Crossed,
            Err(_) => CallOutcome::Short,
        }
    }

    /// Reads a chat answer that comes in one piece.
    pub async fn read_chat(&self, body: Incoming) -> CallOutcome {
        let Some(body) = read_whole(body).await else {
            return CallOutcome::Broken;
        };
        let Ok(value) = serde_json::from_slice::<Value>(&body) else {
            return CallOutcome::Short;
        };
        let choice = &value["choices"][0];
        let content = choice["message"]["content"].as_str().unwrap_or_default();
        let ended = choice["finish_reason"].is_string();
        self.judge(content, ended, value["usage"]["total_tokens"].as_u64())
    }

    /// Reads a streamed chat answer.
    pub async fn read_stream(&self, mut body: Incoming) -> CallOutcome {
        let mut lines = SseLines::default();
        let mut stream = StreamState::default();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return CallOutcome::Broken;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            lines.push(&data);
            let now = self.intended.elapsed();
            while let Some(line) = lines.next_data() {
                stream.take(&line, now);
            }
        }
        let ended = stream.done && stream.finished;
        let outcome = self.judge(&stream.content, ended, stream.tokens);
        match outcome {
            CallOutcome::Answered(times) => CallOutcome::Answered(AnswerTimes {
                first: stream.first.unwrap_or(times.whole),
                longest_gap: stream.longest_gap,
                ..times
            }),
            CallOutcome::Refused(_)
            | CallOutcome::Crossed
            | CallOutcome::Short
            | CallOutcome::Broken => outcome,
        }
    }

    fn judge(&self, content: &str, ended: bool, tokens: Option<u64>) -> CallOutcome {
        let Some(proof) = ChatProof::read(content) else {
            return CallOutcome::Short;
        };
        if proof.mark != self.mark {
            return CallOutcome::Crossed;
        }
        match tokens {
            Some(tokens) if ended => self.answered(tokens),
            Some(_) | None => CallOutcome::Short,
        }
    }

    fn answered(&self, tokens: u64) -> CallOutcome {
        let whole = self.intended.elapsed();
        CallOutcome::Answered(AnswerTimes {
            first: whole,
            whole,
            longest_gap: Duration::ZERO,
            tokens,
        })
    }
}

/// Whether `content` bears exactly this mark: `load-1-2` is not the mark of `load-1-23`.
pub fn bears_mark(content: &str, mark: &str) -> bool {
    content.match_indices(mark).any(|(start, _)| {
        let rest = &content[start + mark.len()..];
        !rest.starts_with(|character: char| character.is_ascii_alphanumeric())
    })
}

/// What has come of a stream so far.
#[derive(Debug, Default)]
struct StreamState {
    content: String,
    first: Option<Duration>,
    latest: Option<Duration>,
    longest_gap: Duration,
    finished: bool,
    done: bool,
    tokens: Option<u64>,
}

impl StreamState {
    fn take(&mut self, line: &str, now: Duration) {
        if line == "[DONE]" {
            self.done = true;
            return;
        }
        let Ok(value) = serde_json::from_str::<Value>(line) else {
            return;
        };
        if let Some(text) = value["choices"][0]["delta"]["content"].as_str()
            && !text.is_empty()
        {
            self.content.push_str(text);
            self.first.get_or_insert(now);
            let gap = now.saturating_sub(self.latest.unwrap_or(now));
            self.longest_gap = self.longest_gap.max(gap);
            self.latest = Some(now);
        }
        if value["choices"][0]["finish_reason"].is_string() {
            self.finished = true;
        }
        if let Some(tokens) = value["usage"]["total_tokens"].as_u64() {
            self.tokens = Some(tokens);
        }
    }
}

async fn read_whole(body: Incoming) -> Option<Bytes> {
    body.collect().await.ok().map(|body| body.to_bytes())
}

fn parse_refusal(body: &[u8]) -> Option<ReadRefusal> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let error = &value["error"];
    Some(ReadRefusal {
        reason: error["reason"].as_str()?.to_owned(),
        not_run: error["ran"].as_str()? == "no",
        retry_after_ms: error["retry_after_ms"].as_u64(),
        call: error["call"].as_str().unwrap_or_default().to_owned(),
    })
}
