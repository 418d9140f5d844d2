//! The `chat_proof` module provides a header in generated text by which a caller verifies that a
//! response is complete and belongs to its request.

use std::fmt;

use beechsaddle_core::hash::stable_hash;

/// The content of the first token of a response; the further tokens are numbered from one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatProof {
    /// The attempt that the response belongs to.
    pub attempt: String,
    /// The hash of the prompt, as of [`ChatProof::prompt_hash`].
    pub prompt: u64,
    /// The number of tokens in the response.
    pub tokens: u64,
    /// The last word of the prompt, by which a caller recognizes its own response.
    pub mark: String,
}

impl ChatProof {
    /// Returns the hash of a prompt, which is `role\ncontent\n` of all messages.
    pub fn prompt_hash(prompt: impl AsRef<str>) -> u64 {
        stable_hash(prompt.as_ref())
    }

    /// Returns the mark of a prompt, reduced to ASCII letters, digits and hyphens.
    pub fn mark_of(prompt: impl AsRef<str>) -> String {
        let last = prompt.as_ref().split_whitespace().next_back();
        let is_allowed = |character: &char| character.is_ascii_alphanumeric() || *character == '-';
        last.unwrap_or_default()
            .chars()
            .filter(is_allowed)
            .collect()
    }

    /// Returns the token at a position.
    pub fn token(&self, position: u64) -> String {
        if position == 0 {
            self.to_string()
        } else {
            format!(" t{position}")
        }
    }

    /// Parses the text of a response; `None` unless it is complete.
    pub fn read(content: &str) -> Option<Self> {
        let mut words = content.split(' ');
        let proof = ChatProof {
            attempt: words.next()?.strip_prefix("attempt=")?.to_owned(),
            prompt: u64::from_str_radix(words.next()?.strip_prefix("prompt=")?, 16).ok()?,
            tokens: words.next()?.strip_prefix("tokens=")?.parse().ok()?,
            mark: words.next()?.strip_prefix("mark=")?.to_owned(),
        };
        let is_complete = (1..proof.tokens).all(|position| {
            let word = words.next().and_then(|word| word.strip_prefix('t'));
            word.and_then(|number| number.parse().ok()) == Some(position)
        });
        (is_complete && words.next().is_none()).then_some(proof)
    }
}

impl fmt::Display for ChatProof {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "attempt={} prompt={:016x} tokens={} mark={}",
            self.attempt, self.prompt, self.tokens, self.mark
        )
    }
}
