//! The `refusal` module provides the final answers that a router gives in place of a target's.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a call was refused. Each has its own counter and a line in `docs/METRICS.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request line, headers or body cannot be parsed.
    BadRequest,
    /// The body is larger than the settings allow.
    BodyTooLarge,
    /// The body did not arrive within the time limit.
    BodyTimeout,
    /// No workspace has this key.
    UnknownKey,
    /// The budget belongs to another workspace or does not exist.
    ForeignBudget,
    /// The service or model is not in the catalogue.
    UnknownService,
    /// The workspace may not use the service or model.
    NotAllowed,
    /// The budget has no tokens left for this request.
    BudgetExhausted,
    /// The budget's grant cannot be enlarged because the platform is unreachable.
    BudgetUnreachable,
    /// The holder of the budget does not answer and no other router can hold it.
    HolderUnreachable,
    /// The entry's limit of concurrent requests is reached.
    ConcurrencyLimit,
    /// The entry's limit of requests per second is reached.
    RequestRateLimit,
    /// The entry's limit of tokens per minute is reached.
    TokenRateLimit,
    /// The router sheds load of this class.
    Overloaded,
    /// No target of the service is alive.
    NoTarget,
    /// All attempts failed and the retry budget or the targets are exhausted.
    AttemptsFailed,
    /// The caller's deadline cannot be met.
    DeadlineExceeded,
    /// A call with the same key is running.
    InProgress,
    /// A call with the same key was answered before and is not run again.
    AlreadyAnswered,
    /// A call with the same not-repeatable key was dispatched before; its outcome is unknown here.
    AlreadyDispatched,
    /// The dedup record cannot be made durable because the platform is unreachable.
    RecordUnavailable,
    /// A target may have run the call, but no complete answer arrived.
    OutcomeUnknown,
    /// The router has no catalogue yet.
    NoCatalogue,
    /// The router is shutting down.
    Draining,
    /// A ring between the router's threads is full.
    RingFull,
}

/// Whether the request ran at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RanState {
    /// No byte of it can have reached a target.
    No,
    /// It may have run.
    Unknown,
}

/// The final answer to a refused call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRefusal {
    pub reason: RefusalReason,
    pub ran: RanState,
    /// The delay after which a retry may succeed, in milliseconds; `None` when it cannot.
    pub retry_after_ms: Option<u64>,
}

impl CallRefusal {
    /// Returns a refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason, retry_after_ms: Option<u64>) -> Self {
        CallRefusal {
            reason,
            ran: RanState::No,
            retry_after_ms,
        }
    }

    /// Returns a refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason, retry_after_ms: Option<u64>) -> Self {
        CallRefusal {
            reason,
            ran: RanState::Unknown,
            retry_after_ms,
        }
    }
}

impl RefusalReason {
    /// Every reason, in the order of the documentation.
    pub const ALL: [RefusalReason; 25] = [
        RefusalReason::BadRequest,
        RefusalReason::BodyTooLarge,
        RefusalReason::BodyTimeout,
        RefusalReason::UnknownKey,
        RefusalReason::ForeignBudget,
        RefusalReason::UnknownService,
        RefusalReason::NotAllowed,
        RefusalReason::BudgetExhausted,
        RefusalReason::BudgetUnreachable,
        RefusalReason::HolderUnreachable,
        RefusalReason::ConcurrencyLimit,
        RefusalReason::RequestRateLimit,
        RefusalReason::TokenRateLimit,
        RefusalReason::Overloaded,
        RefusalReason::NoTarget,
        RefusalReason::AttemptsFailed,
        RefusalReason::DeadlineExceeded,
        RefusalReason::InProgress,
        RefusalReason::AlreadyAnswered,
        RefusalReason::AlreadyDispatched,
        RefusalReason::RecordUnavailable,
        RefusalReason::OutcomeUnknown,
        RefusalReason::NoCatalogue,
        RefusalReason::Draining,
        RefusalReason::RingFull,
    ];

    /// Returns the name of the reason in answers, logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::BadRequest => "bad_request",
            RefusalReason::BodyTooLarge => "body_too_large",
            RefusalReason::BodyTimeout => "body_timeout",
            RefusalReason::UnknownKey => "unknown_key",
            RefusalReason::ForeignBudget => "foreign_budget",
            RefusalReason::UnknownService => "unknown_service",
            RefusalReason::NotAllowed => "not_allowed",
            RefusalReason::BudgetExhausted => "budget_exhausted",
            RefusalReason::BudgetUnreachable => "budget_unreachable",
            RefusalReason::HolderUnreachable => "holder_unreachable",
            RefusalReason::ConcurrencyLimit => "concurrency_limit",
            RefusalReason::RequestRateLimit => "request_rate_limit",
            RefusalReason::TokenRateLimit => "token_rate_limit",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::NoTarget => "no_target",
            RefusalReason::AttemptsFailed => "attempts_failed",
            RefusalReason::DeadlineExceeded => "deadline_exceeded",
            RefusalReason::InProgress => "in_progress",
            RefusalReason::AlreadyAnswered => "already_answered",
            RefusalReason::AlreadyDispatched => "already_dispatched",
            RefusalReason::RecordUnavailable => "record_unavailable",
            RefusalReason::OutcomeUnknown => "outcome_unknown",
            RefusalReason::NoCatalogue => "no_catalogue",
            RefusalReason::Draining => "draining",
            RefusalReason::RingFull => "ring_full",
        }
    }

    /// Returns the HTTP status for the reason.
    pub fn status_code(self) -> u16 {
        match self {
            RefusalReason::BadRequest => 400,
            RefusalReason::UnknownKey => 401,
            RefusalReason::BudgetExhausted => 402,
            RefusalReason::ForeignBudget | RefusalReason::NotAllowed => 403,
            RefusalReason::UnknownService => 404,
            RefusalReason::BodyTimeout => 408,
            RefusalReason::InProgress
            | RefusalReason::AlreadyAnswered
            | RefusalReason::AlreadyDispatched => 409,
            RefusalReason::BodyTooLarge => 413,
            RefusalReason::ConcurrencyLimit
            | RefusalReason::RequestRateLimit
            | RefusalReason::TokenRateLimit => 429,
            RefusalReason::AttemptsFailed | RefusalReason::OutcomeUnknown => 502,
            RefusalReason::BudgetUnreachable
            | RefusalReason::HolderUnreachable
            | RefusalReason::Overloaded
            | RefusalReason::NoTarget
            | RefusalReason::RecordUnavailable
            | RefusalReason::NoCatalogue
            | RefusalReason::Draining
            | RefusalReason::RingFull => 503,
            RefusalReason::DeadlineExceeded => 504,
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
