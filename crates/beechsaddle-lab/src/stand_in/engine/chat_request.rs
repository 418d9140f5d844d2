//! The `chat_request` module provides chat requests as engines read them.

use serde::Deserialize;
use serde_json::Value;

use beechsaddle_core::hash::stable_hash;

/// The parts of a chat request that the stand-in uses.
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

/// How many bytes of a prompt make a token; real tokenizers come near it for English text.
const BYTES_A_TOKEN: usize = 4;

impl ChatRequest {
    /// All messages as the text that prefix hashes cover.
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

    /// Whether the stream ends with the usage.
    pub(super) fn wants_usage(&self) -> bool {
        self.stream_options.include_usage
    }

    /// How many tokens the prompt has.
    pub(super) fn input_tokens(&self) -> u64 {
        self.prompt().len().div_ceil(BYTES_A_TOKEN).max(1) as u64
    }

    /// How many tokens the answer has when nothing limits it: what the prompt asks for by a word
    /// `tokens=N`, or else a length around the mean that depends on the prompt.
    pub(super) fn wanted_tokens(&self, seed: u64, mean: u64) -> u64 {
        let prompt = self.prompt();
        let asked = prompt
            .split_whitespace()
            .filter_map(|word| word.strip_prefix("tokens="))
            .find_map(|number| number.parse().ok());
        let span = (2 * mean).saturating_sub(1).max(1);
        asked.unwrap_or_else(|| 1 + (stable_hash(&prompt) ^ seed) % span)
    }

    /// The caller's limit of tokens.
    pub(super) fn limit(&self) -> u64 {
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(u64::MAX)
    }
}
