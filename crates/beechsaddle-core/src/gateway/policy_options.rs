//! The `policy_options` module provides switches for routing policies.

/// Switches for routing policies. Operators can switch one off to measure its benefit to their
/// callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyOptions {
    /// Whether streams that run once stay in the caller's domain if possible.
    pub keeps_single_runs_near: bool,
    /// Whether an engine fetches shared parts of a prompt from another engine instead of processing
    /// them again.
    pub fetches_parts: bool,
    /// Whether a router whose own link is full leaves the load balancer's rotation for a time.
    pub leaves_full_link: bool,
    /// Whether a router whose own link is short sheds what exceeds it, less urgent and large calls
    /// first. Off by default.
    pub sheds_by_degrees: bool,
}

impl Default for PolicyOptions {
    fn default() -> Self {
        PolicyOptions {
            keeps_single_runs_near: true,
            fetches_parts: true,
            leaves_full_link: true,
            sheds_by_degrees: false,
        }
    }
}
