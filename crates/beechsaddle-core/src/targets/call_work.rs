//! The `call_work` module provides the expected work of a call.

/// The expected work of a call, in tokens; zero for a plain service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallWork {
    pub prompt_tokens: u64,
    /// Tokens expected to be generated.
    pub output_tokens: u64,
}
