//! The `target_options` module provides the settings of target views and target choice.

use super::ChoicePolicy;

/// Settings of a [`TargetTable`](super::TargetTable).
#[derive(Clone, Debug, PartialEq)]
pub struct TargetOptions {
    /// How targets are chosen.
    pub policy: ChoicePolicy,
    /// How often each prober probes a target, in milliseconds.
    pub probe_period_ms: u64,
    /// After how many milliseconds without outcome a probe counts as failed.
    pub probe_timeout_ms: u64,
    /// How soon a failed probe is repeated, in milliseconds.
    pub probe_retry_ms: u64,
    /// How many routers of the domain probe each target.
    pub probers: usize,
    /// How many probes in a row have to fail before a target is down.
    pub down_after: u32,
    /// For how long an own probe outweighs the word of peers, in milliseconds.
    pub view_fresh_ms: u64,
    /// For how long a host that is no longer listed is remembered, in milliseconds, so that an
    /// older list cannot bring it back.
    pub forget_ms: u64,
    /// How many observations one heartbeat carries at most.
    pub news_limit: usize,
    /// By how many calls a load has to change before peers are told, at least.
    pub load_news_step: u32,
    /// How many failures in a row eject a target.
    pub eject_after: u32,
    /// For how long the first ejection lasts, in milliseconds; each further one twice as long.
    pub eject_base_ms: u64,
    /// The longest ejection, in milliseconds.
    pub eject_max_ms: u64,
    /// The share of a service's targets that may be ejected, in thousandths.
    pub eject_share_permille: u64,
    /// How many times slower than the median a target has to be to be ejected.
    pub slow_ratio: f64,
    /// How many first tokens have to be seen before a target can be called slow.
    pub slow_samples: u32,
    /// For how long a target that just came or came back gets less work, in milliseconds.
    pub slow_start_ms: u64,
    /// For how long a target that said it was busy is avoided, in milliseconds.
    pub busy_ms: u64,
    /// How many prefix hashes are remembered for each target.
    pub prefix_limit: usize,
    /// How many tokens one block of a prompt is taken for.
    pub block_tokens: u64,
    /// The prompt tokens a second that an engine is taken to read until its speed is measured.
    pub prefill_rate: f64,
    /// The milliseconds that each call in an engine's batch is taken to add to a first token.
    pub batch_ms: f64,
    /// How many blocks are remembered to find what prompts share.
    pub fork_limit: usize,
    /// The part of a prompt that its home is taken to have to read, unless less is known.
    pub home_unread: f64,
    /// How many times slower than the median a target may be and still be a home.
    pub home_slowness: f64,
    /// How many times more targets than its share of calls a shared part is spread over.
    pub home_slack: f64,
    /// Whether calls may go to other domains when the own one cannot serve them.
    pub cross_domain: bool,
}

impl Default for TargetOptions {
    fn default() -> Self {
        TargetOptions {
            policy: ChoicePolicy::Adaptive,
            probe_period_ms: 1_000,
            probe_timeout_ms: 1_000,
            probe_retry_ms: 100,
            probers: 2,
            down_after: 2,
            view_fresh_ms: 3_000,
            forget_ms: 600_000,
            news_limit: 64,
            load_news_step: 4,
            eject_after: 3,
            eject_base_ms: 5_000,
            eject_max_ms: 60_000,
            eject_share_permille: 500,
            slow_ratio: 4.0,
            slow_samples: 10,
            slow_start_ms: 10_000,
            busy_ms: 1_000,
            prefix_limit: 1_024,
            block_tokens: 64,
            prefill_rate: 8_000.0,
            batch_ms: 1.0,
            fork_limit: 4_096,
            home_unread: 0.2,
            home_slowness: 2.0,
            home_slack: 8.0,
            cross_domain: true,
        }
    }
}
