//! The `policy_options` module provides switches for the ways in which a router decides.

/// Switches for the ways in which a router decides. All are on by default; operators switch one off to
/// see what it is worth to their callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyOptions {
    /// Whether streams that run once stay in the caller's domain if they can.
    pub keeps_single_runs_near: bool,
    /// Whether an engine gets shared parts of a prompt from another one instead of reading them again.
    pub fetches_parts: bool,
    /// Whether a router whose own link is full leaves the rotation for a while.
    pub leaves_full_link: bool,
}

impl Default for PolicyOptions {
    fn default() -> Self {
        PolicyOptions {
            keeps_single_runs_near: true,
            fetches_parts: true,
            leaves_full_link: true,
        }
    }
}
