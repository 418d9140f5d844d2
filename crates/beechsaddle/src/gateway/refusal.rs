//! The `refusal` module provides the final responses that the router itself generates.

use beechsaddle_platform::{RefusalHead, RefusalKind};
use http::Response;
use http::header::{CONTENT_TYPE, HeaderValue};
use prometheus_client::encoding::EncodeLabelValue;

use super::answer_body::AnswerBody;

/// Why the router itself answers a call. Each cause has its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(super) enum RefusalCause {
    /// The request's head is invalid.
    BadHead,
    /// No route matches the request.
    UnknownRoute,
    /// No workspace has the caller's key.
    UnknownKey,
    HeadTooLarge,
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The router has no memory left for the body.
    MemoryFull,
    /// The workspace's remaining tokens do not cover the request.
    BudgetExhausted,
    /// The router holds too few tokens, and the ledger did not supply more in time.
    BudgetUnreachable,
    /// The workspace's remaining tokens are kept for more urgent calls.
    BudgetReserved,
    /// Targets crash when they run the request.
    CrashesTargets,
    /// The router has not received a configuration yet.
    NoConfig,
    /// The router has no route or key for the call, but may lack the version that adds it.
    ConfigUnconfirmed,
    /// The router's own link is saturated, and changes of targets arrive late over it.
    LinkFull,
    /// The calls that are offered exceed the router's own link.
    LinkShort,
    /// The router shuts down, and the call may take longer than is left.
    ShuttingDown,
    NoTarget,
    /// The call resumes a stream, and no reachable router knows at which software version it began.
    StreamUnknown,
    /// The call resumes a stream, and no target of the software version that began it accepts requests.
    VersionGone,
    /// All targets of the service are in failure domains that are being evacuated.
    TargetsEvacuated,
    /// Targets of the service have announced that they leave, and no other one accepts requests.
    TargetsLeaving,
    /// All targets of the service are cold and get few requests.
    TargetsCold,
    /// No target could be reached; nothing was sent.
    TargetsUnreachable,
    /// All targets of the service rest, as they have asked for.
    TargetsResting,
    /// Targets reported that they did not run the request.
    TargetsFull,
    /// All targets of the service have reached their rate limits.
    TargetsLimited,
    /// The caller's deadline passed before anything was sent.
    TooLate,
    /// A target may have run the request but gave no usable response.
    OutcomeUnknown,
    /// The deadline passed while a target may still be running the request.
    TimedOut,
}

/// Retry delay when targets are full, in milliseconds: engines and services accept new work several
/// times in this span.
const FULL_RETRY_MS: u64 = 150;
/// Retry delay when something is missing that usually recovers within about a second, in
/// milliseconds.
const OUTAGE_RETRY_MS: u64 = 400;
/// Retry delay when this router shuts down, in milliseconds: the balancer sends the retry to another
/// one.
const SHUTDOWN_RETRY_MS: u64 = 10;
/// Retry delay when this router's link is short, in milliseconds: the balancer sends the retry to
/// another one, whose link is most likely free.
const SHORT_RETRY_MS: u64 = 10;
/// Retry delay while all targets are evacuated, in milliseconds: only an operator ends that, and
/// earlier retries would be refused as well.
const EVACUATED_RETRY_MS: u64 = 2_000;

impl RefusalCause {
    /// Returns the status and retry delay to send to the caller.
    pub(super) fn head(self) -> RefusalHead {
        let (kind, retry_after_ms) = match self {
            RefusalCause::BadHead => (RefusalKind::BadRequest, None),
            RefusalCause::UnknownRoute => (RefusalKind::UnknownRoute, None),
            RefusalCause::UnknownKey => (RefusalKind::UnknownKey, None),
            RefusalCause::HeadTooLarge => (RefusalKind::HeadTooLarge, None),
            RefusalCause::BodyTooLarge => (RefusalKind::BodyTooLarge, None),
            RefusalCause::BodyTimeout => (RefusalKind::BodyTimeout, None),
            RefusalCause::BudgetExhausted => (RefusalKind::BudgetExhausted, None),
            RefusalCause::TargetsFull => (RefusalKind::NotRun, Some(FULL_RETRY_MS)),
            RefusalCause::BudgetUnreachable
            | RefusalCause::BudgetReserved
            | RefusalCause::NoConfig
            | RefusalCause::ConfigUnconfirmed
            | RefusalCause::LinkFull
            | RefusalCause::MemoryFull
            | RefusalCause::NoTarget
            | RefusalCause::StreamUnknown
            | RefusalCause::VersionGone
            | RefusalCause::TargetsLeaving
            | RefusalCause::TargetsCold
            | RefusalCause::CrashesTargets
            | RefusalCause::TargetsLimited
            | RefusalCause::TargetsResting
            | RefusalCause::TargetsUnreachable
            | RefusalCause::TooLate => (RefusalKind::NotRun, Some(OUTAGE_RETRY_MS)),
            RefusalCause::ShuttingDown => (RefusalKind::NotRun, Some(SHUTDOWN_RETRY_MS)),
            RefusalCause::LinkShort => (RefusalKind::NotRun, Some(SHORT_RETRY_MS)),
            RefusalCause::TargetsEvacuated => (RefusalKind::NotRun, Some(EVACUATED_RETRY_MS)),
            RefusalCause::OutcomeUnknown => (RefusalKind::OutcomeUnknown, None),
            RefusalCause::TimedOut => (RefusalKind::TimedOut, None),
        };
        RefusalHead {
            kind,
            retry_after_ms,
        }
    }

    /// Returns the cause's name in logs and response bodies.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            RefusalCause::BadHead => "bad_head",
            RefusalCause::UnknownRoute => "unknown_route",
            RefusalCause::UnknownKey => "unknown_key",
            RefusalCause::HeadTooLarge => "head_too_large",
            RefusalCause::BodyTooLarge => "body_too_large",
            RefusalCause::BodyTimeout => "body_timeout",
            RefusalCause::MemoryFull => "memory_full",
            RefusalCause::BudgetExhausted => "budget_exhausted",
            RefusalCause::BudgetUnreachable => "budget_unreachable",
            RefusalCause::BudgetReserved => "budget_reserved",
            RefusalCause::CrashesTargets => "crashes_targets",
            RefusalCause::NoConfig => "no_config",
            RefusalCause::ConfigUnconfirmed => "config_unconfirmed",
            RefusalCause::LinkFull => "link_full",
            RefusalCause::LinkShort => "link_short",
            RefusalCause::ShuttingDown => "shutting_down",
            RefusalCause::NoTarget => "no_target",
            RefusalCause::StreamUnknown => "stream_unknown",
            RefusalCause::VersionGone => "version_gone",
            RefusalCause::TargetsEvacuated => "targets_evacuated",
            RefusalCause::TargetsLeaving => "targets_leaving",
            RefusalCause::TargetsCold => "targets_cold",
            RefusalCause::TargetsUnreachable => "targets_unreachable",
            RefusalCause::TargetsFull => "targets_full",
            RefusalCause::TargetsLimited => "targets_limited",
            RefusalCause::TargetsResting => "targets_resting",
            RefusalCause::TooLate => "too_late",
            RefusalCause::OutcomeUnknown => "outcome_unknown",
            RefusalCause::TimedOut => "timed_out",
        }
    }

    /// Whether the cause, if it is found after the head was taken, leaves a rest of the body unread.
    pub(super) fn leaves_body_unread(self) -> bool {
        matches!(
            self,
            RefusalCause::BodyTooLarge
                | RefusalCause::BodyTimeout
                | RefusalCause::MemoryFull
                | RefusalCause::BadHead
        )
    }

    /// Builds the response.
    pub(super) fn response(self, message: &str) -> Response<AnswerBody> {
        self.response_with(self.head(), message)
    }

    /// Builds the response with a known retry delay.
    pub(super) fn response_after(self, retry_ms: u64, message: &str) -> Response<AnswerBody> {
        let head = RefusalHead {
            retry_after_ms: Some(retry_ms),
            ..self.head()
        };
        self.response_with(head, message)
    }

    fn response_with(self, head: RefusalHead, message: &str) -> Response<AnswerBody> {
        let body = serde_json::json!({"error": {"reason": self.as_str(), "message": message}});
        let mut response = head.response(AnswerBody::full(body.to_string()));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }
}
