//! The `policy_options` module provides switches for routing policies.

/// Switches for routing policies. Those of long standing are on by default; operators can switch one off
/// to measure its benefit to their callers.
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
    /// Whether calls are refused at once if the answer is known, and return by the cause of their
    /// refusal.
    pub returns_by_cause: bool,
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
            shares_target_speeds: false,
            places_by_speed: false,
            paces_recovery: false,
            returns_by_cause: false,
            sheds_by_degrees: false,
        }
    }
}
