//! The `response_reader` module provides checks that a response is complete and its call's own.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use super::{CallOutcome, ParsedRefusal, ResponseTimes, SseLines};
use crate::stand_in::{ChatProof, PlainEcho};

/// Reads and checks the response to one call.
#[derive(Clone, Debug)]
pub struct ResponseReader {
    /// The mark that the response must contain.
    pub mark: String,
    /// The planned sending time of the call.
    pub intended: Instant,
}

impl ResponseReader {
    /// Reads a refusal. One that cannot be parsed is reported as `Broken`.
    pub async fn read_refusal(&self, body: Incoming) -> CallOutcome {
        match read_body(body).await {
            Some(body) => parse_refusal(&body).map_or(CallOutcome::Broken, CallOutcome::Refused),
            None => CallOutcome::Broken,
        }
    }

    /// Reads the response of a plain service, which must echo the mark.
    pub async fn read_plain(&self, body: Incoming, tokens: u64) -> CallOutcome {
        let Some(body) = read_body(body).await else {
            return CallOutcome::Broken;
        };
        match serde_json::from_slice::<PlainEcho>(&body) {
            Ok(echo) if contains_mark(&echo.body, &self.mark) => self.answered(tokens),
            Ok(_) => CallOutcome::Crossed,
            Err(_) => CallOutcome::Short,
        }
    }

    /// Reads a buffered chat response.
    pub async fn read_chat(&self, body: Incoming) -> CallOutcome {
        let Some(body) = read_body(body).await else {
            return CallOutcome::Broken;
        };
        let Ok(value) = serde_json::from_slice::<Value>(&body) else {
            return CallOutcome::Short;
        };
        let choice = &value["choices"][0];
        let content = choice["message"]["content"].as_str().unwrap_or_default();
        let ended = choice["finish_reason"].is_string();
        self.classify(content, ended, value["usage"]["total_tokens"].as_u64())
    }

    /// Reads a streamed chat response.
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
        let outcome = self.classify(&stream.content, ended, stream.tokens);
        match outcome {
            CallOutcome::Answered(times) => CallOutcome::Answered(ResponseTimes {
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

    fn classify(&self, content: &str, ended: bool, tokens: Option<u64>) -> CallOutcome {
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
        CallOutcome::Answered(ResponseTimes {
            first: whole,
            whole,
            longest_gap: Duration::ZERO,
            tokens,
        })
    }
}

/// Whether `content` contains exactly this mark: `load-1-23` does not contain `load-1-2`.
pub fn contains_mark(content: &str, mark: &str) -> bool {
    content.match_indices(mark).any(|(start, _)| {
        let rest = &content[start + mark.len()..];
        !rest.starts_with(|character: char| character.is_ascii_alphanumeric())
    })
}

/// The part of a stream that has been received so far.
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

async fn read_body(body: Incoming) -> Option<Bytes> {
    body.collect().await.ok().map(|body| body.to_bytes())
}

fn parse_refusal(body: &[u8]) -> Option<ParsedRefusal> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let error = &value["error"];
    Some(ParsedRefusal {
        reason: error["reason"].as_str()?.to_owned(),
        not_run: error["ran"].as_str()? == "no",
        retry_after_ms: error["retry_after_ms"].as_u64(),
        call: error["call"].as_str().unwrap_or_default().to_owned(),
    })
}
