//! The `call_outcome` module provides the outcome of a call as its caller sees it.

use std::time::Duration;

/// The outcome of one try of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete response with the call's own mark.
    Answered(ResponseTimes),
    /// A well-formed refusal.
    Refused(ParsedRefusal),
    /// The response belongs to another call.
    Crossed,
    /// A truncated response that ended without a transport error, so that a caller which does not
    /// check the content takes it for complete.
    Short,
    /// The connection was lost or the try timed out. The caller does not know whether the call ran.
    Broken,
}

/// Latencies of a response, measured from the planned sending time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTimes {
    /// Time to the first token; equal to `whole` for calls without a stream.
    pub first: Duration,
    /// Time to the end of the response.
    pub whole: Duration,
    /// The longest time between two tokens.
    pub longest_gap: Duration,
    /// The token usage that the response reports.
    pub tokens: u64,
}

/// A refusal, parsed from the response body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedRefusal {
    /// The refusal reason.
    pub reason: String,
    /// Whether it states that the call did not run.
    pub not_run: bool,
    /// The delay in milliseconds after which it permits a retry; `None` if the refusal is final.
    pub retry_after_ms: Option<u64>,
    /// The router's id of the call, from which the ids of its attempts at the targets derive.
    pub call: String,
}
