//! The `chat_completion` module provides chat completions in OpenAI's format.

use serde_json::{Value, json};

use super::chat_proof::ChatProof;

/// A chat completion, determined in full before its first token is sent.
#[derive(Clone, Debug)]
pub(super) struct ChatCompletion {
    pub(super) proof: ChatProof,
    pub(super) model: String,
    pub(super) input_tokens: u64,
    pub(super) cached_tokens: u64,
    /// Whether the caller's token limit truncated it.
    pub(super) limited: bool,
    /// Whether its stream ends with the usage.
    pub(super) wants_usage: bool,
}

impl ChatCompletion {
    /// Returns the body of a buffered response.
    pub(super) fn buffered(&self) -> Value {
        let content: String = (0..self.proof.tokens)
            .map(|position| self.proof.token(position))
            .collect();
        let message = json!({"role": "assistant", "content": content});
        let mut body = self.envelope("chat.completion");
        body["choices"] = json!([
            {"index": 0, "message": message, "finish_reason": self.finish_reason()}
        ]);
        body["usage"] = self.usage();
        body
    }

    /// Returns the stream events for the token at a position; the last token is followed by the end
    /// of the stream.
    pub(super) fn events(&self, position: u64) -> String {
        let mut delta = json!({"content": self.proof.token(position)});
        if position == 0 {
            delta["role"] = json!("assistant");
        }
        let mut events = event(&self.chunk(delta, Value::Null));
        if position + 1 == self.proof.tokens {
            events.push_str(&self.last_events());
        }
        events
    }

    fn last_events(&self) -> String {
        let mut events = event(&self.chunk(json!({}), json!(self.finish_reason())));
        if self.wants_usage {
            let mut chunk = self.envelope("chat.completion.chunk");
            chunk["choices"] = json!([]);
            chunk["usage"] = self.usage();
            events.push_str(&event(&chunk));
        }
        events.push_str("data: [DONE]\n\n");
        events
    }

    fn chunk(&self, delta: Value, finish_reason: Value) -> Value {
        let mut chunk = self.envelope("chat.completion.chunk");
        chunk["choices"] = json!([
            {"index": 0, "delta": delta, "finish_reason": finish_reason}
        ]);
        chunk
    }

    fn envelope(&self, object: &str) -> Value {
        json!({
            "id": format!("chatcmpl-{}", self.proof.attempt),
            "object": object,
            "created": 0,
            "model": self.model,
        })
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.input_tokens,
            "completion_tokens": self.proof.tokens,
            "total_tokens": self.input_tokens + self.proof.tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        })
    }

    fn finish_reason(&self) -> &'static str {
        if self.limited { "length" } else { "stop" }
    }
}

fn event(data: &Value) -> String {
    format!("data: {data}\n\n")
}
