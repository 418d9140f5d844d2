//! The `prompt_shape` module provides the parts and token bounds of a request's prompt.

/// The most tokens that a request may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenBound {
    /// Tokens of the prompt.
    pub input: u64,
    /// The largest number of tokens to generate.
    pub output_max: u64,
}

impl TokenBound {
    /// Returns the sum of both bounds.
    pub fn total(self) -> u64 {
        self.input.saturating_add(self.output_max)
    }
}

/// One part of a prompt. Engines cache the parts of earlier prompts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id; parts with equal ids have equal text.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u64,
}

/// The parts of a prompt in order. The last one is the request's own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the id that requests with the same leading parts share: that of the last part but
    /// one.
    pub fn shared_id(&self) -> Option<&str> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).map(|part| part.id.as_str())
    }

    /// Returns the tokens of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.tokens).sum()
    }

    /// Returns the tokens of the request's own part.
    pub fn own_tokens(&self) -> u64 {
        self.parts.last().map_or(0, |part| part.tokens)
    }
}
