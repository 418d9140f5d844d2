//! The `call` module provides the events and actions of the edge towards callers and targets.

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::names::{AttemptId, BudgetName, CallId, KeyText, ModelName, ServiceName, TargetName};
use crate::refusal::CallRefusal;

/// The SHA-256 digest of a caller's bearer key; the key itself never reaches the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(pub [u8; 32]);

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallRoute {
    /// `POST /v1/chat/completions`.
    Chat {
        /// The model named in the body.
        model: ModelName,
    },
    /// Any method at `/svc/<service>/<path>`.
    Service {
        /// The service named in the path.
        service: ServiceName,
    },
}

/// A call whose head and body have been read and checked for form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallArrival {
    /// Given by the edge.
    pub call: CallId,
    /// The digest of the caller's key.
    pub key_digest: KeyDigest,
    /// What is asked for.
    pub route: CallRoute,
    /// The budget named by the `Beechsaddle-Budget` header, if any.
    pub budget: Option<BudgetName>,
    /// The caller's `Idempotency-Key`, if any.
    pub idempotency: Option<KeyText>,
    /// The `Beechsaddle-Repeatable` header, if any.
    pub repeatable: Option<bool>,
    /// When the caller gives up, if it said so by `Beechsaddle-Timeout-Ms`.
    pub deadline: Option<ClockTime>,
    /// An upper bound of the prompt in tokens: no tokenizer makes more tokens than bytes.
    pub input_bound: u64,
    /// The largest number of tokens to generate, if the caller said so.
    pub output_bound: Option<u64>,
    /// Hashes of the prompt's leading blocks, each covering all blocks before it.
    pub prefix: Vec<u64>,
}

/// The tokens that a target reported for one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub input: u64,
    /// Tokens generated.
    pub output: u64,
}

impl TokenUsage {
    /// Tokens in all.
    pub fn total(self) -> u64 {
        self.input.saturating_add(self.output)
    }
}

/// Why an attempt at a target failed before anything was relayed to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptFailure {
    /// No connection was made: the call did not run there.
    ConnectFailed,
    /// The connection broke after bytes were sent.
    ConnectionLost,
    /// No answer came in time.
    TimedOut,
    /// The target answered with this server error.
    ServerError,
    /// The target said that it is overloaded or leaving (429 or 503).
    TargetBusy,
    /// The answer belonged to another attempt.
    WrongAttempt,
    /// The answer cannot be read.
    BadAnswer,
}

impl AttemptFailure {
    /// Every failure, in the order of the documentation.
    pub const ALL: [AttemptFailure; 7] = [
        AttemptFailure::ConnectFailed,
        AttemptFailure::ConnectionLost,
        AttemptFailure::TimedOut,
        AttemptFailure::ServerError,
        AttemptFailure::TargetBusy,
        AttemptFailure::WrongAttempt,
        AttemptFailure::BadAnswer,
    ];

    /// The failure as it stands in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptFailure::ConnectFailed => "connect_failed",
            AttemptFailure::ConnectionLost => "connection_lost",
            AttemptFailure::TimedOut => "timed_out",
            AttemptFailure::ServerError => "server_error",
            AttemptFailure::TargetBusy => "target_busy",
            AttemptFailure::WrongAttempt => "wrong_attempt",
            AttemptFailure::BadAnswer => "bad_answer",
        }
    }

    /// Whether the call is known not to have run at that target.
    pub fn is_not_run(self) -> bool {
        matches!(self, AttemptFailure::ConnectFailed)
    }
}

/// How an answer that was being relayed came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerEnd {
    /// The target's answer is whole; its last part waits for [`CallAction::Finish`].
    Complete,
    /// The target's answer broke off after bytes had gone to the caller.
    Truncated,
    /// The caller hung up; the target's answer was cancelled.
    CallerGone,
}

/// Something that the edge towards callers and targets tells the core.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum CallEvent {
    /// A well-formed call arrived.
    Arrived(Box<CallArrival>),
    /// The edge refused a malformed call by itself; only counted.
    Rejected(CallRefusal),
    /// A caller asks which models its workspace may use; answered by [`CallAction::Models`] or
    /// [`CallAction::Refuse`].
    ModelsQuery {
        /// Given by the edge.
        call: CallId,
        /// The digest of the caller's key.
        key_digest: KeyDigest,
    },
    /// The caller hung up while no attempt was running. A running attempt is cancelled by the edge,
    /// which then raises `AnswerEnded` in place of this event. A `Dispatch` that crosses this event
    /// is not carried out: no byte of it reached a target.
    CallerGone {
        /// The call.
        call: CallId,
        /// The last attempt that the edge carried out. Its `AttemptFailed` may still be on the way.
        last_attempt: Option<AttemptId>,
    },
    /// An attempt failed and nothing of it was relayed.
    AttemptFailed {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        failure: AttemptFailure,
    },
    /// The head of the target's answer came and goes to the caller now.
    AnswerStarted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Tokens of a streamed answer that went to the caller so far; raised about once a second.
    AnswerProgress {
        /// The attempt.
        attempt: AttemptId,
        /// The usage so far.
        usage: TokenUsage,
    },
    /// The answer ended.
    AnswerEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: AnswerEnd,
        /// The usage that the target reported. When the answer broke off before, `output` is what
        /// the edge counted and `input` its estimate of the prompt; both are zero when nothing of
        /// an answer had come.
        usage: TokenUsage,
    },
}

/// Something that the core asks of the edge towards callers and targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum CallAction {
    /// Give the caller its final answer now.
    Refuse {
        /// The call.
        call: CallId,
        /// The answer.
        refusal: CallRefusal,
    },
    /// Send the call to a target. Never resent by the edge.
    Dispatch {
        /// The attempt, sent as `Beechsaddle-Attempt` and compared with the answer's echo.
        attempt: AttemptId,
        /// The target.
        target: TargetName,
        /// Where it listens, as `address:port`.
        address: String,
        /// The `max_tokens` to send; `None` for a plain service.
        output_limit: Option<u64>,
        /// How long to wait for the head of the answer, in milliseconds.
        head_timeout_ms: u64,
        /// When the caller gives up, passed on to the target.
        deadline: Option<ClockTime>,
        /// Whether the call may be repeated. One that may not gets a connection of its own, and
        /// the target's server error is relayed, since it is the call's outcome.
        repeatable: bool,
    },
    /// The models that the caller of a [`CallEvent::ModelsQuery`] may use.
    Models {
        /// The call.
        call: CallId,
        /// The models, in order.
        models: Vec<ModelName>,
    },
    /// The usage is safe: let the last part of the answer go.
    Finish {
        /// The call.
        call: CallId,
    },
    /// Cancel the target's answer and break off the caller's visibly.
    Abort {
        /// The call.
        call: CallId,
    },
    /// Stop accepting calls: the listener closes, running calls go on.
    StopAccepting,
}
