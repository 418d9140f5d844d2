//! The `chat_proof` module provides whether an engine's answer is whole and whose it is.

use std::fmt;

use beechsaddle_core::hash::stable_hash;

/// What the first token of an answer says; the others count from one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatProof {
    /// The attempt that was answered.
    pub attempt: String,
    /// The hash of the prompt, as of [`ChatProof::prompt_hash`].
    pub prompt: u64,
    /// How many tokens the answer has.
    pub tokens: u64,
    /// The last word of the prompt, by which a caller knows its own answer.
    pub mark: String,
}

impl ChatProof {
    /// The hash of a prompt: `role\ncontent\n` of all messages.
    pub fn prompt_hash(prompt: impl AsRef<str>) -> u64 {
        stable_hash(prompt.as_ref())
    }

    /// The mark of a prompt; what is no letter, digit or hyphen is left out.
    pub fn mark_of(prompt: impl AsRef<str>) -> String {
        let last = prompt.as_ref().split_whitespace().next_back();
        let kept = |character: &char| character.is_ascii_alphanumeric() || *character == '-';
        last.unwrap_or_default().chars().filter(kept).collect()
    }

    /// The token at a place.
    pub fn token(&self, place: u64) -> String {
        if place == 0 {
            self.to_string()
        } else {
            format!(" t{place}")
        }
    }

    /// Reads an answer; `None` unless it is whole.
    pub fn read(content: &str) -> Option<Self> {
        let mut words = content.split(' ');
        let proof = ChatProof {
            attempt: words.next()?.strip_prefix("attempt=")?.to_owned(),
            prompt: u64::from_str_radix(words.next()?.strip_prefix("prompt=")?, 16).ok()?,
            tokens: words.next()?.strip_prefix("tokens=")?.parse().ok()?,
            mark: words.next()?.strip_prefix("mark=")?.to_owned(),
        };
        let whole = (1..proof.tokens).all(|place| {
            let word = words.next().and_then(|word| word.strip_prefix('t'));
            word.and_then(|number| number.parse().ok()) == Some(place)
        });
        (whole && words.next().is_none()).then_some(proof)
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
