//! The `chat_request` module provides parsed chat requests.

use serde::Deserialize;
use serde_json::Value;

use beechsaddle_core::hash::stable_hash;

/// The fields of a chat request that the stand-in uses.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct ChatRequest {
    pub(super) model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    stream_options: StreamOptions,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
}

#[derive(Clone, Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: Value,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Bytes of a prompt per token; close to real tokenizers for English text.
const BYTES_A_TOKEN: usize = 4;

impl ChatRequest {
    /// Returns all messages as the text that prefix hashes cover.
    pub(super) fn prompt(&self) -> String {
        let mut prompt = String::new();
        for message in &self.messages {
            prompt.push_str(&message.role);
            prompt.push('\n');
            match &message.content {
                Value::String(text) => prompt.push_str(text),
                other => prompt.push_str(&other.to_string()),
            }
            prompt.push('\n');
        }
        prompt
    }

    /// Whether the client asked for the usage at the end of the stream.
    pub(super) fn wants_usage(&self) -> bool {
        self.stream_options.include_usage
    }

    /// Returns the number of prompt tokens.
    pub(super) fn input_tokens(&self) -> u64 {
        self.prompt().len().div_ceil(BYTES_A_TOKEN).max(1) as u64
    }

    /// Returns the length of the response in tokens without the caller's limit: N of a word
    /// `tokens=N` in the prompt, or else a length around the mean that depends on the prompt and
    /// the seed.
    pub(super) fn unlimited_tokens(&self, seed: u64, mean: u64) -> u64 {
        let prompt = self.prompt();
        let requested = prompt
            .split_whitespace()
            .filter_map(|word| word.strip_prefix("tokens="))
            .find_map(|number| number.parse().ok());
        let span = (2 * mean).saturating_sub(1).max(1);
        requested.unwrap_or_else(|| 1 + (stable_hash(&prompt) ^ seed) % span)
    }

    /// Returns the caller's limit of output tokens.
    pub(super) fn limit(&self) -> u64 {
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(u64::MAX)
    }
}
