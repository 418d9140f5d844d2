//! The `target_options` module provides the settings of target state and target choice.

use super::ChoicePolicy;

/// Settings of a [`TargetTable`](super::TargetTable).
#[derive(Clone, Debug, PartialEq)]
pub struct TargetOptions {
    /// The policy for choosing targets.
    pub policy: ChoicePolicy,
    /// The interval between probes of a target by one prober, in milliseconds.
    pub probe_period_ms: u64,
    /// The time without outcome after which a probe counts as failed, in milliseconds.
    pub probe_timeout_ms: u64,
    /// The delay before a failed probe is retried, in milliseconds.
    pub probe_retry_ms: u64,
    /// The number of routers of the domain that probe each target.
    pub probers: usize,
    /// The number of consecutive failed probes after which a target is down.
    pub down_after: u32,
    /// How long the result of an own probe takes precedence over peer reports, in milliseconds.
    pub probe_max_age_ms: u64,
    /// How long an unlisted host is retained, in milliseconds, so that an older list cannot restore
    /// it.
    pub unlisted_retention_ms: u64,
    /// The maximum number of target updates in one heartbeat.
    pub update_limit: usize,
    /// The minimum change of a load, in calls, that is sent to peers.
    pub load_update_step: u32,
    /// The number of consecutive failures that ejects a target.
    pub eject_after: u32,
    /// The duration of the first ejection, in milliseconds; each further one lasts twice as long.
    pub eject_base_ms: u64,
    /// The maximum duration of an ejection, in milliseconds.
    pub eject_max_ms: u64,
    /// The share of a service's targets that may be ejected, in thousandths.
    pub eject_share_permille: u64,
    /// The ratio of a target's slowdown to the median above which it is ejected.
    pub slow_ratio: f64,
    /// The number of measured first tokens that are needed to eject a target as slow.
    pub slow_samples: u32,
    /// How long a new or returned target gets reduced load, in milliseconds.
    pub slow_start_ms: u64,
    /// How long a target that reported itself busy is avoided, in milliseconds.
    pub busy_ms: u64,
    /// The maximum number of prefix hashes stored per target.
    pub prefix_limit: usize,
    /// The assumed number of tokens in one block of a prompt.
    pub block_tokens: u64,
    /// The prefill rate assumed for an engine until its speed is measured, in prompt tokens per
    /// second.
    pub prefill_rate: f64,
    /// The assumed increase of the time to first token for each call in an engine's batch, in
    /// milliseconds.
    pub batch_ms: f64,
    /// The maximum number of blocks in the prefix tree.
    pub prefix_tree_limit: usize,
    /// The fraction of a prompt that its affinity target is assumed to have to read, unless less is
    /// known.
    pub affinity_unread_ratio: f64,
    /// The maximum ratio of an affinity target's slowdown to the median.
    pub affinity_max_slowdown: f64,
    /// The factor by which the group of targets for a shared prefix exceeds its share of calls.
    pub affinity_spread_factor: f64,
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
            probe_max_age_ms: 3_000,
            unlisted_retention_ms: 600_000,
            update_limit: 64,
            load_update_step: 4,
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
            prefix_tree_limit: 4_096,
            affinity_unread_ratio: 0.2,
            affinity_max_slowdown: 2.0,
            affinity_spread_factor: 8.0,
            cross_domain: true,
        }
    }
}
