//! The `target_entry` module provides the state that a router holds for one target.

use super::{
    CallWork, LoadEstimate, OutlierDetector, PrefixIndex, ProbeState, StateReport, TargetOptions,
};
use crate::clock::ClockTime;
use crate::members::{HostRecord, HostState};
use crate::names::{DomainName, ModelName, ServiceName, TargetName};
use crate::peer::TargetUpdate;
use crate::target::{EngineState, LoadReport};

/// The assumed duration of a call to a plain service, in milliseconds; only the ratio between
/// targets matters.
const PLAIN_EXPECTED_MS: f64 = 100.0;

/// One in this many load updates also carries the engine state.
const ENGINE_RESEND_INTERVAL: u32 = 4;

/// The state of one target at this router.
#[derive(Debug)]
pub struct TargetEntry {
    pub target: TargetName,
    /// The address for calls, as `address:port`.
    pub address: String,
    pub domain: DomainName,
    pub service: ServiceName,
    /// Increases each time the host is replaced.
    pub epoch: u64,
    /// The state in the host list; `None` when no longer listed.
    pub listed: Option<HostState>,
    /// The time at which the target disappeared from the host list.
    pub unlisted_since: ClockTime,
    /// Whether another target with a later epoch has the same address, or a peer reported a later
    /// epoch.
    pub replaced: bool,
    /// The state that the routers of the domain converge on.
    pub agreed: StateReport,
    /// This router's probes.
    pub probe: ProbeState,
    /// The engine state, if known.
    pub engine: Option<EngineState>,
    pub load: LoadEstimate,
    /// The prefixes estimated to be cached.
    pub prefixes: PrefixIndex,
    /// Outcomes of this router's calls.
    pub outlier: OutlierDetector,
    /// The start of the current slow start, if any.
    pub slow_start_since: Option<ClockTime>,
    /// Whether the next heartbeat carries an update about the target.
    pub announce: bool,
    /// Whether a heartbeat with the update should be sent at once.
    pub urgent: bool,
    /// The load last sent to peers.
    pub sent_load: LoadReport,
    /// The number of updates sent because of the load alone.
    pub load_update_count: u32,
}

impl TargetEntry {
    /// Creates the entry of a newly listed target.
    pub fn new(record: &HostRecord, service: &ServiceName, options: &TargetOptions) -> Self {
        TargetEntry {
            target: TargetName::new(record.host.as_str()),
            address: record.address.clone(),
            domain: record.domain.clone(),
            service: service.clone(),
            epoch: record.epoch,
            listed: Some(record.state),
            unlisted_since: ClockTime::ZERO,
            replaced: false,
            agreed: StateReport::default(),
            probe: ProbeState::default(),
            engine: None,
            load: LoadEstimate::new(),
            prefixes: PrefixIndex::new(options.prefix_limit),
            outlier: OutlierDetector::default(),
            slow_start_since: None,
            announce: false,
            urgent: false,
            sent_load: LoadReport::default(),
            load_update_count: 0,
        }
    }

    /// Applies a record with a later epoch: a different host without known state. Own calls to the
    /// old host stay counted until they end.
    pub fn replace(&mut self, now: ClockTime, record: &HostRecord, service: &ServiceName) {
        self.address = record.address.clone();
        self.domain = record.domain.clone();
        self.service = service.clone();
        self.epoch = record.epoch;
        self.listed = Some(record.state);
        self.replaced = false;
        self.agreed = StateReport::default();
        self.probe.reset();
        self.engine = None;
        self.load.reset_host(now);
        self.prefixes.clear();
        self.outlier = OutlierDetector::default();
        self.slow_start_since = Some(now);
        self.announce = false;
        self.urgent = false;
    }

    /// The state of the target, combined from the host list, probes and peer reports.
    pub fn state(&self, now: ClockTime, options: &TargetOptions) -> HostState {
        let Some(listed) = self.listed else {
            return HostState::Down;
        };
        if self.replaced || self.agreed.state() == HostState::Leaving {
            return HostState::Leaving;
        }
        if let Some(observed_state) = self.probe.observed_state(now, options) {
            return observed_state;
        }
        if self.agreed.is_observed() {
            return self.agreed.state();
        }
        listed
    }

    /// Whether the target can serve `model`: the model is loaded, or the engine state is unknown.
    pub fn may_serve(&self, model: Option<&ModelName>) -> bool {
        match (model, &self.engine) {
            (Some(wanted), Some(engine)) => engine.model == *wanted,
            (Some(_), None) | (None, _) => true,
        }
    }

    /// The share of its normal load that the target gets; below 1.0 during slow start.
    pub fn slow_start_share(&self, now: ClockTime, options: &TargetOptions) -> f64 {
        let Some(since) = self.slow_start_since else {
            return 1.0;
        };
        let elapsed_ms = now.since(since) as f64;
        (elapsed_ms / options.slow_start_ms.max(1) as f64).min(1.0)
    }

    /// The prompt tokens that the target would have to prefill.
    pub fn uncached_tokens(&self, prefix: &[u64], work: CallWork, options: &TargetOptions) -> u64 {
        let cached = self.prefixes.depth(prefix) as u64 * options.block_tokens;
        work.prompt_tokens.saturating_sub(cached)
    }

    /// The time to first token, in milliseconds, of a target with the default speed for
    /// `uncached_tokens` after the prompts that wait there now.
    pub fn expected_ms(&self, uncached_tokens: u64, options: &TargetOptions) -> f64 {
        let tokens = self.load.waiting_tokens() + uncached_tokens as f64;
        tokens * 1_000.0 / options.prefill_rate + self.load.calls() * options.batch_ms
    }

    /// Records a call that is sent to the target now.
    pub fn start(
        &mut self,
        now: ClockTime,
        prefix: &[u64],
        work: CallWork,
        options: &TargetOptions,
    ) {
        let uncached_tokens = self.uncached_tokens(prefix, work, options);
        let expected_ms = if work.prompt_tokens == 0 {
            PLAIN_EXPECTED_MS
        } else {
            self.expected_ms(uncached_tokens, options)
        };
        self.load.started(now, uncached_tokens, expected_ms);
        self.prefixes.touch(now, prefix);
    }

    /// Announces an observation of this router in an immediate heartbeat.
    pub fn announce_urgently(&mut self) {
        self.announce = true;
        self.urgent = true;
    }

    /// Announces the known state in the next heartbeat.
    pub fn announce_in_next(&mut self) {
        self.announce = true;
    }

    /// Whether the load changed enough to send it to the peers that do not probe the target.
    pub fn has_load_change(&self, options: &TargetOptions) -> bool {
        if self.probe.rank != Some(0) {
            return false;
        }
        let load = self.load.report();
        let sent = self.sent_load;
        let step = options.load_update_step.max(sent.running / 4);
        load.running.abs_diff(sent.running) >= step || load.waiting.abs_diff(sent.waiting) >= step
    }

    /// Whether a load update also carries the engine state. That state is more than half of the
    /// bytes and rarely changes, but new routers need it from time to time.
    pub fn take_engine_resend(&mut self) -> bool {
        self.load_update_count += 1;
        self.load_update_count
            .is_multiple_of(ENGINE_RESEND_INTERVAL)
    }

    /// Creates the update for peers.
    pub fn to_update(&self) -> TargetUpdate {
        let is_prober = self.probe.rank.is_some();
        TargetUpdate {
            target: self.target.clone(),
            epoch: self.epoch,
            state: self.agreed.state(),
            sequence: self.agreed.sequence(),
            load: is_prober.then(|| self.load.report()),
            engine: self.engine.clone().filter(|_| is_prober),
        }
    }
}
