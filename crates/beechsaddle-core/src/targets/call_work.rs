//! The `call_work` module provides how much work a call is expected to be.

/// The expected work of a call, in tokens; zeros for a plain service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallWork {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens to be generated.
    pub output_tokens: u64,
}
