//! The `refusal` module provides the router's own final answers.

use beechsaddle_platform::{RefusalHead, RefusalKind};
use http::Response;
use http::header::{CONTENT_TYPE, HeaderValue};
use prometheus_client::encoding::EncodeLabelValue;

use super::answer_body::AnswerBody;

/// Why the router answers by itself. Each has its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(super) enum RefusalCause {
    /// The head cannot be used.
    BadHead,
    /// No route takes the request.
    UnknownRoute,
    /// No workspace has the key.
    UnknownKey,
    /// The body is too large.
    BodyTooLarge,
    /// The body did not come in time.
    BodyTimeout,
    /// The workspace's total does not cover the request.
    BudgetExhausted,
    /// The router holds too few tokens, and the ledger did not give more in time.
    BudgetUnreachable,
    /// Targets crash under the request.
    CrashesTargets,
    /// No configuration is known yet.
    NoConfig,
    /// The router's own link is full, and changes of targets come late over it.
    LinkFull,
    /// The service has no target.
    NoTarget,
    /// No target could be reached; nothing was sent.
    TargetsUnreachable,
    /// Targets said that they did not run the request.
    TargetsFull,
    /// All targets of the service have got what they take for now.
    TargetsLimited,
    /// The caller's time is over before anything was sent.
    TooLate,
    /// A target may have run the request, and gave no usable answer.
    OutcomeUnknown,
    /// A target may be running the request, and the time is over.
    TimedOut,
}

/// When to come back where targets are full, in milliseconds: engines and services take new work
/// several times in this span.
const FULL_RETRY_MS: u64 = 150;
/// When to come back where something is missing that returns within about a second.
const AWAY_RETRY_MS: u64 = 400;

impl RefusalCause {
    /// What the caller is told.
    pub(super) fn head(self) -> RefusalHead {
        let (kind, retry_after_ms) = match self {
            RefusalCause::BadHead => (RefusalKind::BadRequest, None),
            RefusalCause::UnknownRoute => (RefusalKind::UnknownRoute, None),
            RefusalCause::UnknownKey => (RefusalKind::UnknownKey, None),
            RefusalCause::BodyTooLarge => (RefusalKind::BodyTooLarge, None),
            RefusalCause::BodyTimeout => (RefusalKind::BodyTimeout, None),
            RefusalCause::BudgetExhausted => (RefusalKind::BudgetExhausted, None),
            RefusalCause::TargetsFull => (RefusalKind::NotRun, Some(FULL_RETRY_MS)),
            RefusalCause::BudgetUnreachable
            | RefusalCause::NoConfig
            | RefusalCause::LinkFull
            | RefusalCause::NoTarget
            | RefusalCause::CrashesTargets
            | RefusalCause::TargetsLimited
            | RefusalCause::TargetsUnreachable
            | RefusalCause::TooLate => (RefusalKind::NotRun, Some(AWAY_RETRY_MS)),
            RefusalCause::OutcomeUnknown => (RefusalKind::OutcomeUnknown, None),
            RefusalCause::TimedOut => (RefusalKind::TimedOut, None),
        };
        RefusalHead {
            kind,
            retry_after_ms,
        }
    }

    /// A word for logs and answers.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            RefusalCause::BadHead => "bad_head",
            RefusalCause::UnknownRoute => "unknown_route",
            RefusalCause::UnknownKey => "unknown_key",
            RefusalCause::BodyTooLarge => "body_too_large",
            RefusalCause::BodyTimeout => "body_timeout",
            RefusalCause::BudgetExhausted => "budget_exhausted",
            RefusalCause::BudgetUnreachable => "budget_unreachable",
            RefusalCause::CrashesTargets => "crashes_targets",
            RefusalCause::NoConfig => "no_config",
            RefusalCause::LinkFull => "link_full",
            RefusalCause::NoTarget => "no_target",
            RefusalCause::TargetsUnreachable => "targets_unreachable",
            RefusalCause::TargetsFull => "targets_full",
            RefusalCause::TargetsLimited => "targets_limited",
            RefusalCause::TooLate => "too_late",
            RefusalCause::OutcomeUnknown => "outcome_unknown",
            RefusalCause::TimedOut => "timed_out",
        }
    }

    /// The whole answer.
    pub(super) fn response(self, message: &str) -> Response<AnswerBody> {
        self.response_with(self.head(), message)
    }

    /// The whole answer, where it is known when to come back.
    pub(super) fn response_after(self, retry_ms: u64, message: &str) -> Response<AnswerBody> {
        let head = RefusalHead {
            retry_after_ms: Some(retry_ms),
            ..self.head()
        };
        self.response_with(head, message)
    }

    fn response_with(self, head: RefusalHead, message: &str) -> Response<AnswerBody> {
        let body = serde_json::json!({"error": {"reason": self.as_str(), "message": message}});
        let mut response = head.response(AnswerBody::whole(body.to_string()));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }
}
