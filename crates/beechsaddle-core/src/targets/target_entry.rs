//! The `target_entry` module provides all that a router knows of one target.

use super::{
    CallWork, LoadEstimate, OutlierWatch, PrefixIndex, ProbeState, TargetOptions, TargetWord,
};
use crate::clock::ClockTime;
use crate::members::{HostRecord, HostState};
use crate::names::{DomainName, ModelName, ServiceName, TargetName};
use crate::peer::TargetNews;
use crate::target::{EngineState, LoadReport};

/// What a call to a plain service is taken to last, in milliseconds; only the ratio between targets
/// matters.
const PLAIN_EXPECTED_MS: f64 = 100.0;

/// Of how many tellings of a load one says what the engine serves, too.
const ENGINE_TOLD_EVERY: u32 = 4;

/// One target as this router knows it.
#[derive(Debug)]
pub struct TargetEntry {
    /// Its name.
    pub target: TargetName,
    /// Where it listens, as `address:port`.
    pub address: String,
    /// Its domain.
    pub domain: DomainName,
    /// Its service.
    pub service: ServiceName,
    /// Grows each time the host is replaced.
    pub epoch: u64,
    /// What the host list says; `None` when it is not listed any more.
    pub listed: Option<HostState>,
    /// Since when it is not listed.
    pub unlisted_since: ClockTime,
    /// Whether another target with a later epoch has the same address, or peers know a later epoch.
    pub replaced: bool,
    /// What the routers of the domain agree on.
    pub word: TargetWord,
    /// Own probes.
    pub probe: ProbeState,
    /// What it is set to serve, as far as known.
    pub engine: Option<EngineState>,
    /// How busy it is.
    pub load: LoadEstimate,
    /// Which prefixes it holds.
    pub prefixes: PrefixIndex,
    /// What calls tell of it.
    pub outlier: OutlierWatch,
    /// Since when it gets work again, while it is in slow start.
    pub fresh_since: Option<ClockTime>,
    /// Whether to tell of it in the next heartbeat.
    pub tell: bool,
    /// Whether to tell of it at once.
    pub urgent: bool,
    /// The load that peers were told last.
    pub told_load: LoadReport,
    /// How often the load was told without another cause.
    pub load_tellings: u32,
}

impl TargetEntry {
    /// A target that was just listed.
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
            word: TargetWord::default(),
            probe: ProbeState::default(),
            engine: None,
            load: LoadEstimate::new(),
            prefixes: PrefixIndex::new(options.prefix_limit),
            outlier: OutlierWatch::default(),
            fresh_since: None,
            tell: false,
            urgent: false,
            told_load: LoadReport::default(),
            load_tellings: 0,
        }
    }

    /// Takes over a record of a later epoch: another host, of which nothing is known yet. Own calls
    /// to the old host stay counted until they end.
    pub fn replace(&mut self, now: ClockTime, record: &HostRecord, service: &ServiceName) {
        self.address = record.address.clone();
        self.domain = record.domain.clone();
        self.service = service.clone();
        self.epoch = record.epoch;
        self.listed = Some(record.state);
        self.replaced = false;
        self.word = TargetWord::default();
        self.probe.reset();
        self.engine = None;
        self.load.forget_host(now);
        self.prefixes.clear();
        self.outlier = OutlierWatch::default();
        self.fresh_since = Some(now);
        self.tell = false;
        self.urgent = false;
    }

    /// Whether it serves, from the host list, probes and peers joined.
    pub fn state(&self, now: ClockTime, options: &TargetOptions) -> HostState {
        let Some(listed) = self.listed else {
            return HostState::Down;
        };
        if self.replaced || self.word.state() == HostState::Leaving {
            return HostState::Leaving;
        }
        if let Some(view) = self.probe.view(now, options) {
            return view;
        }
        if self.word.is_observed() {
            return self.word.state();
        }
        listed
    }

    /// Whether it may serve a call for `model`: it has it loaded, or nothing is known yet.
    pub fn may_serve(&self, model: Option<&ModelName>) -> bool {
        match (model, &self.engine) {
            (Some(wanted), Some(engine)) => engine.model == *wanted,
            (Some(_), None) | (None, _) => true,
        }
    }

    /// The share of the usual work that it gets, in slow start less than one.
    pub fn warmth(&self, now: ClockTime, options: &TargetOptions) -> f64 {
        let Some(since) = self.fresh_since else {
            return 1.0;
        };
        let span = now.since(since) as f64;
        (span / options.slow_start_ms.max(1) as f64).min(1.0)
    }

    /// The prompt tokens that it would have to read.
    pub fn uncached_tokens(&self, prefix: &[u64], work: CallWork, options: &TargetOptions) -> u64 {
        let cached = self.prefixes.depth(prefix) as u64 * options.block_tokens;
        work.prompt_tokens.saturating_sub(cached)
    }

    /// The time to the first token, in milliseconds, that a target of the usual speed would need
    /// for `uncached_tokens` behind what waits there now.
    pub fn expected_ms(&self, uncached_tokens: u64, options: &TargetOptions) -> f64 {
        let tokens = self.load.waiting_tokens() + uncached_tokens as f64;
        tokens * 1_000.0 / options.prefill_rate + self.load.calls() * options.batch_ms
    }

    /// Notes a call that is sent there now.
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

    /// Marks an observation of this router for a heartbeat at once.
    pub fn tell_urgently(&mut self) {
        self.tell = true;
        self.urgent = true;
    }

    /// Marks what is known for the next heartbeat.
    pub fn tell_once(&mut self) {
        self.tell = true;
    }

    /// Whether the load changed enough to tell peers, who do not see it themselves.
    pub fn has_load_news(&self, options: &TargetOptions) -> bool {
        if self.probe.rank != Some(0) {
            return false;
        }
        let load = self.load.report();
        let told = self.told_load;
        let step = options.load_news_step.max(told.running / 4);
        load.running.abs_diff(told.running) >= step || load.waiting.abs_diff(told.waiting) >= step
    }

    /// Whether news of the load says again what the engine serves. That is more than half of the
    /// bytes and hardly ever changes; routers that are new need it now and then.
    pub fn is_engine_told_again(&mut self) -> bool {
        self.load_tellings += 1;
        self.load_tellings.is_multiple_of(ENGINE_TOLD_EVERY)
    }

    /// What to tell peers.
    pub fn to_news(&self) -> TargetNews {
        let is_prober = self.probe.rank.is_some();
        TargetNews {
            target: self.target.clone(),
            epoch: self.epoch,
            state: self.word.state(),
            sequence: self.word.sequence(),
            load: is_prober.then(|| self.load.report()),
            engine: self.engine.clone().filter(|_| is_prober),
        }
    }
}
