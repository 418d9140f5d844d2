//! The `gateway_metrics` module provides counters and latency histograms for monitoring.

use std::fmt;
use std::sync::atomic::AtomicU64;

use beechsaddle_platform::{BodyFraming, TransferRecord};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use super::origins::{ResumeActor, ResumeVersion};
use super::refusal::RefusalCause;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct CauseLabel {
    pub(super) cause: RefusalCause,
}

/// The urgency of calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct UrgencyLabel {
    /// 0 is the most urgent.
    pub(super) urgency: u8,
}

/// A value of a closed set, such as the end of an attempt or the outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct OutcomeLabel {
    pub(super) what: &'static str,
}

/// How a target's part of a stream ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct StreamEndLabel {
    /// The framing of the response.
    pub(super) framing: &'static str,
    /// Where the body ended.
    pub(super) what: &'static str,
    /// The way to the target.
    pub(super) way: &'static str,
}

/// How a plain response that was read whole reached this router.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct AnswerEndLabel {
    /// The framing of the response.
    pub(super) framing: &'static str,
    /// The way to the target.
    pub(super) way: &'static str,
}

/// The software version at which a stream was resumed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ResumeLabel {
    /// Who resumed the stream.
    by: &'static str,
    /// The relation to the version that began the stream.
    what: &'static str,
}

impl ResumeLabel {
    pub(super) fn new(by: ResumeActor, what: ResumeVersion) -> Self {
        ResumeLabel {
            by: by.as_str(),
            what: what.as_str(),
        }
    }
}

/// The name and the outcome of a store call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct StoreLabel {
    /// The name of the call.
    pub(super) call: &'static str,
    /// The name of its outcome.
    pub(super) what: &'static str,
}

/// Why an answer counts as late: the time to its first event, or a pause between two events.
const LATE_CAUSES: [&str; 2] = ["first", "pause"];

/// Where a stream's body ended: after a whole event, inside an event, or before its first event.
pub(super) const STREAM_ENDS: [&str; 3] = ["whole", "inside_event", "no_event"];

/// The ways to a target: its own connection, or one through another router.
pub(super) const TARGET_WAYS: [&str; 2] = ["direct", "router"];

/// How tunnels that this router carries end: the target closed its connection or it broke, the target
/// sent no answer, or the other router closed its connection or it broke.
pub(super) const TUNNEL_ENDS: [&str; 5] = [
    "target_closed",
    "target_lost",
    "no_answer",
    "router_closed",
    "router_lost",
];

/// Why a stream was broken off towards its caller.
pub(super) const STREAM_BREAKS: [&str; 3] = ["broken", "deadline", "oversized"];

/// Why a caller's connection was closed by this router without a call in progress: the idle time in
/// force was over, that of a router which cannot know it, the time for a head, or the drain of a
/// shutdown.
pub(super) const CALLER_CLOSES: [&str; 6] = [
    "idle",
    "unconfirmed",
    "head",
    "shutdown",
    CALLER_EVICTED,
    CALLER_REFUSED,
];

/// The close of an open connection whose memory or descriptor others need.
pub(super) const CALLER_EVICTED: &str = "evicted";

/// The close of a new connection for which there is no memory or descriptor.
pub(super) const CALLER_REFUSED: &str = "refused";

/// Where the origin of a resumed stream was found: at this router or another one; or that no router
/// knows it, or that none that answered does.
const ORIGIN_OUTCOMES: [&str; 4] = ["own", "peer", "unknown", "unanswered"];

/// The outcomes of checking that the list of targets is current.
pub(super) const REFRESH_OUTCOMES: [&str; 3] = ["confirmed", "shared", "unanswered"];

/// The outcomes of telling a router the origin of a stream.
const NOTE_OUTCOMES: [&str; 2] = ["taken", "failed"];

/// The possible outcomes of exchanged notes on targets; `failed` counts exchanges.
const TARGET_NOTE_OUTCOMES: [&str; 4] = ["sent", "taken", "ignored", "failed"];

/// The directions of exchanged notes.
const NOTE_DIRECTIONS: [&str; 2] = ["sent", "received"];

/// The kinds of objects that routers read from the store.
const OBJECT_KINDS: [&str; 6] = [
    "config",
    "targets",
    "routers",
    "budgets",
    "crashes",
    "evacuations",
];

/// The possible outcomes of a step of following another router.
const FOLLOW_OUTCOMES: [&str; 5] = ["news", "gone", "away", "beginning", "silent"];

/// What targets announce in their responses: that they leave, or that they want no requests for a
/// while.
pub(super) const TARGET_NOTICES: [&str; 2] = ["leaving", "rest"];

/// The results of connecting to a target.
pub(super) const CONNECT_RESULTS: [&str; 3] = ["connected", "refused", "failed"];

/// The steps of speed that targets change to.
const SPEED_STEPS: [&str; 3] = ["usual", "slow", "very_slow"];

/// The outcomes of requests for trials of what may crash targets.
pub(super) const TRIAL_OUTCOMES: [&str; 2] = ["granted", "refused"];

/// Whether a refusal for want of tokens was known when the call came, or found while it was looked for
/// tokens.
const TOKEN_REFUSALS: [&str; 2] = ["known", "sought"];

/// The outcomes of requests for tunnels.
const TUNNEL_OUTCOMES: [&str; 7] = [
    "opened",
    "refused",
    "unreachable",
    "withdrawn",
    "resting",
    "declined",
    "failed",
];

/// Creates counters that are exported at zero for each value, so that they also show on a router that never
/// follows another one.
fn zeroed_counters<const N: usize>(values: [&'static str; N]) -> Family<OutcomeLabel, Counter> {
    let counters = Family::<OutcomeLabel, Counter>::default();
    for what in values {
        drop(counters.get_or_create(&OutcomeLabel { what }));
    }
    counters
}

/// The metrics of a gateway.
pub(super) struct GatewayMetrics {
    registry: Registry,
    /// Calls that arrived.
    pub(super) calls: Counter,
    /// Final answers of the router itself, by cause.
    pub(super) refusals: Family<CauseLabel, Counter>,
    /// Refusals for want of tokens, by whether they were known when the call came.
    pub(super) token_refusals: Family<OutcomeLabel, Counter>,
    pub(super) outcomes: Family<OutcomeLabel, Counter>,
    /// Failed attempts, by their end.
    pub(super) attempt_ends: Family<OutcomeLabel, Counter>,
    /// Further attempts, by the end of the previous one.
    pub(super) repeats: Family<OutcomeLabel, Counter>,
    /// Further attempts denied by the retry budget.
    pub(super) repeats_denied: Counter,
    /// Streams continued at another target.
    pub(super) resumes: Counter,
    /// Resumed streams, by who resumed them and at which version.
    pub(super) resume_versions: Family<ResumeLabel, Counter>,
    /// Searches for the origin of a stream, by outcome.
    pub(super) origins_sought: Family<OutcomeLabel, Counter>,
    /// Checks that the list of targets is current, by outcome.
    pub(super) target_refreshes: Family<OutcomeLabel, Counter>,
    /// Messages to routers that keep the origin of a stream, by outcome.
    pub(super) origins_noted: Family<OutcomeLabel, Counter>,
    /// Targets' parts of streams whose body ended without an error, by framing and by where it
    /// ended.
    pub(super) stream_ends: Family<StreamEndLabel, Counter>,
    pub(super) answer_ends: Family<AnswerEndLabel, Counter>,
    pub(super) tunnels_ended: Family<OutcomeLabel, Counter>,
    /// Streams that were broken off towards their callers, by reason.
    pub(super) stream_breaks: Family<OutcomeLabel, Counter>,
    /// Callers' connections that were closed by a limit on time, memory or descriptors, by limit.
    pub(super) caller_closes: Family<OutcomeLabel, Counter>,
    /// Connections to the address for other routers that were closed for newer ones.
    pub(super) peers_evicted: Counter,
    /// New connections to targets, by result.
    pub(super) connects: Family<OutcomeLabel, Counter>,
    /// Responses in which targets announce that they leave or want rest.
    pub(super) target_notices: Family<OutcomeLabel, Counter>,
    /// Notes on targets exchanged with other routers, by outcome.
    pub(super) target_notes: Family<OutcomeLabel, Counter>,
    /// Bytes of these notes, by direction.
    pub(super) target_note_bytes: Family<OutcomeLabel, Counter>,
    /// Targets whose speed is known from other routers.
    pub(super) targets_reported: Gauge,
    /// The mean age of the newest sample of these, in milliseconds.
    pub(super) report_age_ms: Gauge,
    /// Changes of targets' steps of speed, by the new step.
    pub(super) speed_steps: Family<OutcomeLabel, Counter>,
    /// Rests of targets that began or grew.
    pub(super) target_rests: Counter,
    /// 1 while the router is partitioned from the targets.
    pub(super) path_lost: Gauge,
    /// Requests for tunnels through other routers, by outcome.
    pub(super) tunnels_requested: Family<OutcomeLabel, Counter>,
    /// Tunnels that this router carries for others.
    pub(super) tunnels_carried: Gauge,
    pub(super) ejections: Counter,
    /// Targets at whose address a newer entry was listed.
    pub(super) address_conflicts: Counter,
    /// Attempts during which a target crashed.
    pub(super) crashes_seen: Counter,
    /// Requests that are blocked because targets crash while executing them.
    pub(super) requests_blocked: Gauge,
    /// Prompt parts that are blocked because targets crash while executing requests with them.
    pub(super) parts_blocked: Gauge,
    /// Requests for trials of what may crash targets, by outcome.
    pub(super) crash_trials: Family<OutcomeLabel, Counter>,
    /// Refused requests for permits of rate-limited targets.
    pub(super) permits_refused: Counter,
    /// Evacuations in force.
    pub(super) evacuations: Gauge,
    /// Evacuations that came into force or were withdrawn.
    pub(super) evacuation_changes: Counter,
    /// Store calls, by name and outcome.
    pub(super) store_calls: Family<StoreLabel, Counter>,
    /// Objects of the store that cannot be decoded, each once, by kind.
    pub(super) objects_unreadable: Family<OutcomeLabel, Counter>,
    /// Steps of following another router, by outcome.
    pub(super) follow_steps: Family<OutcomeLabel, Counter>,
    /// 1 if this router follows the store itself, 0 if it follows a router that does.
    pub(super) follows_store: Gauge,
    /// Tokens borrowed from other routers.
    pub(super) tokens_borrowed: Counter,
    /// Tokens lent to other routers.
    pub(super) tokens_lent: Counter,
    /// Calls that were refused because tokens are kept for more urgent ones.
    pub(super) turned_away: Family<UrgencyLabel, Counter>,
    /// The part of calls that is admitted, as last told to a borrower.
    pub(super) urgency_level: Family<UrgencyLabel, Gauge<f64, AtomicU64>>,
    /// Tokens recovered from earlier processes on this host.
    pub(super) tokens_recovered: Counter,
    /// Log lines dropped by sampling under load.
    pub(super) lines_sampled_out: Counter,
    pub(super) open_calls: Gauge,
    /// The version of the configuration in effect.
    pub(super) config_version: Gauge,
    /// Seconds to the first event or the whole answer.
    pub(super) first_s: Histogram,
    /// Seconds from the arrival of a call to the start of the attempt that was answered, which the router
    /// and earlier attempts added.
    pub(super) added_s: Histogram,
    /// Seconds of the longest pause between two events of each stream.
    pub(super) pause_s: Histogram,
    /// Late answers, by cause.
    pub(super) late: Family<OutcomeLabel, Counter>,
    /// Seconds to the end of the answer.
    pub(super) whole_s: Histogram,
    /// Seconds that a call waited for its reservation.
    pub(super) reserve_s: Histogram,
    /// Seconds of a store call.
    pub(super) store_s: Histogram,
    /// Bytes of configurations in force, by their origin.
    config_bytes: Family<OutcomeLabel, Counter>,
    /// Seconds in which the body of a configuration arrived.
    config_body_s: Histogram,
    /// Seconds by which a periodic task runs late, as all other work of the router.
    pub(super) loop_lag_s: Histogram,
}

impl GatewayMetrics {
    /// Creates all metrics at zero.
    pub(super) fn new() -> Self {
        let mut metrics = GatewayMetrics {
            registry: Registry::with_prefix("beechsaddle"),
            calls: Counter::default(),
            refusals: Family::default(),
            token_refusals: zeroed_counters(TOKEN_REFUSALS),
            outcomes: Family::default(),
            attempt_ends: Family::default(),
            repeats: Family::default(),
            repeats_denied: Counter::default(),
            resumes: Counter::default(),
            resume_versions: Family::default(),
            origins_sought: zeroed_counters(ORIGIN_OUTCOMES),
            target_refreshes: zeroed_counters(REFRESH_OUTCOMES),
            origins_noted: zeroed_counters(NOTE_OUTCOMES),
            stream_ends: Family::default(),
            answer_ends: Family::default(),
            tunnels_ended: zeroed_counters(TUNNEL_ENDS),
            stream_breaks: zeroed_counters(STREAM_BREAKS),
            caller_closes: zeroed_counters(CALLER_CLOSES),
            peers_evicted: Counter::default(),
            connects: zeroed_counters(CONNECT_RESULTS),
            target_notices: zeroed_counters(TARGET_NOTICES),
            target_notes: zeroed_counters(TARGET_NOTE_OUTCOMES),
            target_note_bytes: zeroed_counters(NOTE_DIRECTIONS),
            targets_reported: Gauge::default(),
            report_age_ms: Gauge::default(),
            speed_steps: zeroed_counters(SPEED_STEPS),
            target_rests: Counter::default(),
            path_lost: Gauge::default(),
            tunnels_requested: zeroed_counters(TUNNEL_OUTCOMES),
            tunnels_carried: Gauge::default(),
            ejections: Counter::default(),
            address_conflicts: Counter::default(),
            crashes_seen: Counter::default(),
            requests_blocked: Gauge::default(),
            parts_blocked: Gauge::default(),
            crash_trials: zeroed_counters(TRIAL_OUTCOMES),
            permits_refused: Counter::default(),
            evacuations: Gauge::default(),
            evacuation_changes: Counter::default(),
            store_calls: Family::default(),
            objects_unreadable: zeroed_counters(OBJECT_KINDS),
            follow_steps: zeroed_counters(FOLLOW_OUTCOMES),
            follows_store: Gauge::default(),
            tokens_borrowed: Counter::default(),
            tokens_lent: Counter::default(),
            turned_away: Family::default(),
            urgency_level: Family::default(),
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
            config_bytes: Family::default(),
            config_body_s: latency_histogram(),
            loop_lag_s: latency_histogram(),
        };
        // So that a rate includes the first truncated stream.
        for framing in BodyFraming::ALL {
            for what in STREAM_ENDS {
                for way in TARGET_WAYS {
                    let framing = framing.as_str();
                    let label = StreamEndLabel { framing, what, way };
                    drop(metrics.stream_ends.get_or_create(&label));
                }
            }
        }
        // So that a rate includes the first stream of two versions.
        for by in ResumeActor::ALL {
            for what in ResumeVersion::ALL {
                let label = ResumeLabel::new(by, what);
                drop(metrics.resume_versions.get_or_create(&label));
            }
        }
        // Both causes are exported at zero, so that a rate includes the first late answer.
        for what in LATE_CAUSES {
            drop(metrics.late.get_or_create(&OutcomeLabel { what }));
        }
        let most_urgent = UrgencyLabel { urgency: 0 };
        drop(metrics.turned_away.get_or_create(&most_urgent));
        metrics.urgency_level.get_or_create(&most_urgent).set(1.0);
        metrics.register();
        metrics
    }

    /// Returns all metrics in the Prometheus text format.
    pub(super) fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` fails only if a metric cannot be encoded, and all names are constants.
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(fmt::Error) => String::new(),
        }
    }

    /// Records how a configuration was received.
    pub(super) fn record_config(&self, origin: &'static str, transfer: TransferRecord) {
        let label = OutcomeLabel { what: origin };
        let bytes = self.config_bytes.get_or_create(&label);
        bytes.inc_by(transfer.bytes as u64);
        let body_s = transfer.body_ms as f64 / 1_000.0;
        self.config_body_s.observe(body_s);
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("calls", "Calls that arrived", self.calls.clone());
        registry.register("refusals", "Own final answers", self.refusals.clone());
        let token_refusals = self.token_refusals.clone();
        registry.register(
            "token_refusals",
            "Refused for want of tokens",
            token_refusals,
        );
        registry.register("outcomes", "Calls by outcome", self.outcomes.clone());
        let ends = self.attempt_ends.clone();
        registry.register("attempt_ends", "Attempts without a usable answer", ends);
        registry.register("repeats", "Further attempts", self.repeats.clone());
        let denied = self.repeats_denied.clone();
        registry.register("repeats_denied", "Kept back by the retry budget", denied);
        registry.register("resumes", "Streams resumed", self.resumes.clone());
        let versions = self.resume_versions.clone();
        registry.register("resume_versions", "Streams resumed, by version", versions);
        let sought = self.origins_sought.clone();
        registry.register("origins_sought", "Searches for origins of streams", sought);
        let refreshes = self.target_refreshes.clone();
        registry.register(
            "target_refreshes",
            "Checks of the list of targets",
            refreshes,
        );
        let noted = self.origins_noted.clone();
        registry.register("origins_noted", "Origins of streams sent to routers", noted);
        let stream_ends = self.stream_ends.clone();
        registry.register("stream_ends", "Regular ends of streams", stream_ends);
        let answer_ends = self.answer_ends.clone();
        registry.register(
            "answer_ends",
            "Regular ends of plain responses",
            answer_ends,
        );
        let tunnels_ended = self.tunnels_ended.clone();
        registry.register("tunnels_ended", "Ends of carried tunnels", tunnels_ended);
        let breaks = self.stream_breaks.clone();
        registry.register("stream_breaks", "Streams broken off", breaks);
        let closes = self.caller_closes.clone();
        registry.register(
            "caller_closes",
            "Callers' connections closed by a limit",
            closes,
        );
        let peers = self.peers_evicted.clone();
        registry.register(
            "peers_evicted",
            "Unproven peers closed for newer ones",
            peers,
        );
        let connects = self.connects.clone();
        registry.register("connects", "New connections to targets", connects);
        let notices = self.target_notices.clone();
        registry.register("target_notices", "Responses with a notice", notices);
        let notes = self.target_notes.clone();
        registry.register("target_notes", "Notes on targets exchanged", notes);
        let bytes = self.target_note_bytes.clone();
        registry.register("target_note_bytes", "Bytes of notes on targets", bytes);
        let reported = self.targets_reported.clone();
        registry.register("targets_reported", "Targets known from others", reported);
        let age = self.report_age_ms.clone();
        registry.register("report_age_ms", "Mean age of what others told", age);
        let steps = self.speed_steps.clone();
        registry.register("speed_steps", "Changes of targets' speed", steps);
        let rests = self.target_rests.clone();
        registry.register("target_rests", "Rests that began or grew", rests);
        let path_lost = self.path_lost.clone();
        registry.register("path_lost", "Partitioned from the targets", path_lost);
        let requested = self.tunnels_requested.clone();
        registry.register("tunnels_requested", "Requests for tunnels", requested);
        let carried = self.tunnels_carried.clone();
        registry.register("tunnels_carried", "Tunnels carried for others", carried);
        registry.register("ejections", "Targets ejected", self.ejections.clone());
        let conflicts = self.address_conflicts.clone();
        registry.register(
            "address_conflicts",
            "Targets with the address of a newer entry",
            conflicts,
        );
        let crashes = self.crashes_seen.clone();
        registry.register(
            "crashes_seen",
            "Attempts under which a target crashed",
            crashes,
        );
        let blocked = self.requests_blocked.clone();
        registry.register("requests_blocked", "Requests that crash targets", blocked);
        let blocked = self.parts_blocked.clone();
        registry.register("parts_blocked", "Prompt parts that crash targets", blocked);
        let trials = self.crash_trials.clone();
        registry.register("crash_trials", "Trials of what may crash targets", trials);
        let permits = self.permits_refused.clone();
        registry.register(
            "places_refused",
            "Places refused by limits of targets",
            permits,
        );
        let evacuations = self.evacuations.clone();
        registry.register("evacuations", "Evacuations in force", evacuations);
        let changes = self.evacuation_changes.clone();
        registry.register("evacuation_changes", "Changes of evacuations", changes);
        registry.register("store_calls", "Store calls", self.store_calls.clone());
        let unreadable = self.objects_unreadable.clone();
        registry.register("objects_unreadable", "Unreadable objects", unreadable);
        let steps = self.follow_steps.clone();
        registry.register("news_steps", "Steps of following another router", steps);
        let follows = self.follows_store.clone();
        registry.register("follows_store", "Whether it follows the store", follows);
        let borrowed = self.tokens_borrowed.clone();
        registry.register("tokens_borrowed", "Tokens borrowed", borrowed);
        registry.register("tokens_lent", "Tokens lent", self.tokens_lent.clone());
        let turned_away = self.turned_away.clone();
        registry.register(
            "turned_away",
            "Calls refused for more urgent ones",
            turned_away,
        );
        let level = self.urgency_level.clone();
        registry.register("urgency_level", "Part of calls admitted", level);
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
        let bytes = self.config_bytes.clone();
        registry.register("config_bytes", "Bytes of configurations, by origin", bytes);
        let body_s = self.config_body_s.clone();
        registry.register("config_body_seconds", "Transfer of configurations", body_s);
        let lag_s = self.loop_lag_s.clone();
        registry.register("loop_lag_seconds", "Lateness of a periodic task", lag_s);
    }
}

/// Buckets from 1 ms to about 16 s, each twice the one before.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 15))
}
