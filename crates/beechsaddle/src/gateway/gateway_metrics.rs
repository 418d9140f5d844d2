//! The `gateway_metrics` module provides counters and latency histograms as operators' tools read
//! them.

use std::fmt;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use super::refusal::RefusalCause;

/// The cause of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct CauseLabel {
    pub(super) cause: RefusalCause,
}

/// A word of a closed set: the end of an attempt or the outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct WordLabel {
    pub(super) what: &'static str,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct StoreLabel {
    /// What was asked.
    pub(super) call: &'static str,
    /// What came of it.
    pub(super) what: &'static str,
}

/// What makes an answer late: its first event, or a pause between two.
const LATE_WORDS: [&str; 2] = ["first", "pause"];

/// What may come of a step of following another router.
const NEWS_WORDS: [&str; 5] = ["news", "gone", "away", "beginning", "silent"];

/// Counters of a closed set of words that are served before the first of them is counted, so that a router which
/// never follows another one shows it.
fn counted_from_zero(words: [&'static str; 5]) -> Family<WordLabel, Counter> {
    let counters = Family::<WordLabel, Counter>::default();
    for what in words {
        drop(counters.get_or_create(&WordLabel { what }));
    }
    counters
}

/// Everything that is counted and measured.
pub(super) struct GatewayMetrics {
    registry: Registry,
    /// Calls that arrived.
    pub(super) calls: Counter,
    /// The router's own final answers, by cause.
    pub(super) refusals: Family<CauseLabel, Counter>,
    /// Calls by outcome.
    pub(super) outcomes: Family<WordLabel, Counter>,
    /// Attempts that failed, by their end.
    pub(super) attempt_ends: Family<WordLabel, Counter>,
    /// Further attempts, by the end of the one before.
    pub(super) repeats: Family<WordLabel, Counter>,
    /// Further attempts that the retry budget did not allow.
    pub(super) repeats_denied: Counter,
    /// Streams that went on at another target.
    pub(super) resumes: Counter,
    /// Targets taken out of use.
    pub(super) ejections: Counter,
    /// Attempts under which a target crashed.
    pub(super) crashes_seen: Counter,
    /// Requests that are refused as targets crash under them.
    pub(super) requests_blocked: Gauge,
    /// Questions for a place at a target with a limit that had none.
    pub(super) places_refused: Counter,
    /// Calls to the store, by what was asked and by outcome.
    pub(super) store_calls: Family<StoreLabel, Counter>,
    /// Steps of following another router, by what came of them.
    pub(super) news_steps: Family<WordLabel, Counter>,
    /// Whether this router follows the store itself: 1, or 0 where it follows a router that does.
    pub(super) follows_store: Gauge,
    /// Tokens borrowed from other routers.
    pub(super) tokens_borrowed: Counter,
    /// Tokens lent to other routers.
    pub(super) tokens_lent: Counter,
    /// Tokens that came back from processes that ended on this host.
    pub(super) tokens_recovered: Counter,
    /// Lines that were left out of the log under load.
    pub(super) lines_sampled_out: Counter,
    /// Open calls.
    pub(super) open_calls: Gauge,
    /// The version of the configuration in force.
    pub(super) config_version: Gauge,
    /// Seconds to the first event or the whole answer.
    pub(super) first_s: Histogram,
    /// Seconds from the arrival to the start of the attempt that was answered: what the router and
    /// earlier attempts added.
    pub(super) added_s: Histogram,
    /// Seconds of the longest pause between two events, of each stream.
    pub(super) pause_s: Histogram,
    /// Calls that were answered late, by what made them so.
    pub(super) late: Family<WordLabel, Counter>,
    /// Seconds to the end of the answer.
    pub(super) whole_s: Histogram,
    /// Seconds that a call waited for its reservation.
    pub(super) reserve_s: Histogram,
    /// Seconds of a store call.
    pub(super) store_s: Histogram,
}

impl GatewayMetrics {
    /// Metrics at zero.
    pub(super) fn new() -> Self {
        let mut metrics = GatewayMetrics {
            registry: Registry::with_prefix("beechsaddle"),
            calls: Counter::default(),
            refusals: Family::default(),
            outcomes: Family::default(),
            attempt_ends: Family::default(),
            repeats: Family::default(),
            repeats_denied: Counter::default(),
            resumes: Counter::default(),
            ejections: Counter::default(),
            crashes_seen: Counter::default(),
            requests_blocked: Gauge::default(),
            places_refused: Counter::default(),
            store_calls: Family::default(),
            news_steps: counted_from_zero(NEWS_WORDS),
            follows_store: Gauge::default(),
            tokens_borrowed: Counter::default(),
            tokens_lent: Counter::default(),
            tokens_recovered: Counter::default(),
            lines_sampled_out: Counter::default(),
            open_calls: Gauge::default(),
            config_version: Gauge::default(),
            first_s: latency_histogram(),
            added_s: latency_histogram(),
            pause_s: latency_histogram(),
            late: Family::default(),
            whole_s: latency_histogram(),
            reserve_s: latency_histogram(),
            store_s: latency_histogram(),
        };
        // Both show from the start, so that a rate can be taken of the first late answer.
        for what in LATE_WORDS {
            drop(metrics.late.get_or_create(&WordLabel { what }));
        }
        metrics.register();
        metrics
    }

    /// All metrics as text.
    pub(super) fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a text fails only where a metric's own words cannot be written, which are fixed.
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(fmt::Error) => String::new(),
        }
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("calls", "Calls that arrived", self.calls.clone());
        registry.register("refusals", "Own final answers", self.refusals.clone());
        registry.register("outcomes", "Calls by outcome", self.outcomes.clone());
        let ends = self.attempt_ends.clone();
        registry.register("attempt_ends", "Attempts without a usable answer", ends);
        registry.register("repeats", "Further attempts", self.repeats.clone());
        let denied = self.repeats_denied.clone();
        registry.register("repeats_denied", "Kept back by the retry budget", denied);
        registry.register("resumes", "Streams resumed", self.resumes.clone());
        registry.register("ejections", "Targets ejected", self.ejections.clone());
        let crashes = self.crashes_seen.clone();
        registry.register(
            "crashes_seen",
            "Attempts under which a target crashed",
            crashes,
        );
        let blocked = self.requests_blocked.clone();
        registry.register("requests_blocked", "Requests that crash targets", blocked);
        let places = self.places_refused.clone();
        registry.register(
            "places_refused",
            "Places refused by limits of targets",
            places,
        );
        registry.register("store_calls", "Store calls", self.store_calls.clone());
        let steps = self.news_steps.clone();
        registry.register("news_steps", "Steps of following another router", steps);
        let follows = self.follows_store.clone();
        registry.register("follows_store", "Whether it follows the store", follows);
        let borrowed = self.tokens_borrowed.clone();
        registry.register("tokens_borrowed", "Tokens borrowed", borrowed);
        registry.register("tokens_lent", "Tokens lent", self.tokens_lent.clone());
        let recovered = self.tokens_recovered.clone();
        registry.register("tokens_recovered", "Tokens recovered", recovered);
        let sampled_out = self.lines_sampled_out.clone();
        registry.register("lines_sampled_out", "Log lines left out", sampled_out);
        registry.register("open_calls", "Open calls", self.open_calls.clone());
        let version = self.config_version.clone();
        registry.register("config_version", "Configuration in force", version);
        registry.register("first_seconds", "Time to first event", self.first_s.clone());
        let added = self.added_s.clone();
        registry.register("added_seconds", "Time before the answered attempt", added);
        let pause = self.pause_s.clone();
        registry.register("pause_seconds", "Longest pause of a stream", pause);
        registry.register("late_answers", "Late answers", self.late.clone());
        registry.register(
            "whole_seconds",
            "Time to whole answer",
            self.whole_s.clone(),
        );
        let reserve = self.reserve_s.clone();
        registry.register("reserve_seconds", "Wait for a reservation", reserve);
        registry.register("store_seconds", "Time of store calls", self.store_s.clone());
    }
}

/// From 1 ms to about 16 s, doubling.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 15))
}
