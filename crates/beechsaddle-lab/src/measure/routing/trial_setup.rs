//! The `trial_setup` module provides the conditions of one run.

/// The conditions of one run.
#[derive(Clone, Copy, Debug)]
pub struct TrialSetup {
    /// Seeds calls and choices.
    pub seed: u64,
    /// How many routers share the calls.
    pub routers: usize,
    /// How many engines there are.
    pub engines: usize,
    /// How many workspaces call, each with its own instructions.
    pub workspaces: usize,
    /// For how long calls arrive, in milliseconds.
    pub span_ms: f64,
    /// Calls that arrive before this time are not counted, in milliseconds.
    pub warm_ms: f64,
    /// Calls a second.
    pub rate: f64,
    /// How old load reports and cache events are, in milliseconds.
    pub lag_ms: f64,
    /// How many times slower the first engine is.
    pub slowdown: f64,
}

impl Default for TrialSetup {
    fn default() -> Self {
        TrialSetup {
            seed: 1,
            routers: 3,
            engines: 12,
            workspaces: 10,
            span_ms: 150_000.0,
            warm_ms: 30_000.0,
            rate: 55.0,
            lag_ms: 0.0,
            slowdown: 1.0,
        }
    }
}
