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
    /// Whether routers tell each other what they measure of targets.
    pub shares_target_speeds: bool,
    /// Whether slow targets of a service get fewer requests than the others.
    pub places_by_speed: bool,
    /// Whether targets that have started or recovered get a growing part of their requests.
    pub paces_recovery: bool,
}

impl Default for PolicyOptions {
    fn default() -> Self {
        PolicyOptions {
            keeps_single_runs_near: true,
            fetches_parts: true,
            leaves_full_link: true,
            shares_target_speeds: false,
            places_by_speed: false,
            paces_recovery: false,
        }
    }
}
