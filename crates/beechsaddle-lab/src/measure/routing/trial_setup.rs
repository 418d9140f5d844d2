//! The `trial_setup` module provides the parameters of one run.

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct TrialSetup {
    /// The seed of calls and of random choices.
    pub seed: u64,
    /// The number of routers that share the calls.
    pub routers: usize,
    /// The number of engines.
    pub engines: usize,
    /// The number of workspaces, each with its own prompt instructions.
    pub workspaces: usize,
    /// The time during which calls arrive, in milliseconds.
    pub span_ms: f64,
    /// The warm-up time, whose calls are not counted, in milliseconds.
    pub warm_ms: f64,
    /// Calls per second.
    pub rate: f64,
    /// The delay of load reports and cache events, in milliseconds.
    pub lag_ms: f64,
    /// The slowdown factor of the first engine.
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
