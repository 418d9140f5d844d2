//! The `target_faults` module provides what can go wrong at an engine or a plain service.

use serde::{Deserialize, Serialize};

/// Everything that is wrong at a target now; each `POST /faults` replaces it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// For how many milliseconds connections are refused.
    pub refuse_ms: u64,
    /// Rules; the first that matches a request applies.
    pub rules: Vec<TargetRule>,
}

/// A fault and the requests that it hits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRule {
    /// Only requests of this kind.
    #[serde(default)]
    pub scope: TargetScope,
    /// The share of these requests that is hit, in thousandths.
    #[serde(default = "always")]
    pub permille: u32,
    /// How many requests are hit before the rule ends; without end when absent.
    #[serde(default)]
    pub count: Option<u32>,
    /// How long the rule holds, in milliseconds; without end when absent.
    #[serde(default)]
    pub for_ms: Option<u64>,
    /// What happens.
    pub fault: TargetFault,
}

/// Which requests a rule is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetScope {
    /// Calls that routers pass on.
    #[default]
    Calls,
    /// `GET /health`.
    Health,
    /// `GET /cache-events`.
    CacheEvents,
    /// `POST /orders`.
    Orders,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum TargetFault {
    /// The answer breaks off after this many tokens; that of a plain service in its middle.
    DieAfter {
        /// How many tokens come before.
        tokens: u64,
    },
    /// The request runs, and no answer ever comes.
    Hang,
    /// The request runs and is answered with 500.
    ServerError,
    /// The request does not run and is answered with 503.
    Busy {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The answer comes this much later.
    Late {
        /// How much, in milliseconds.
        ms: u64,
    },
    /// The answer is that to another attempt.
    WrongAttempt,
    /// The request runs and the connection closes without an answer.
    CloseAfterRead,
    /// The answer is not what the protocol says.
    Garbage,
}

impl TargetRule {
    /// A rule that hits every call, without end.
    pub fn all(fault: TargetFault) -> Self {
        TargetRule {
            scope: TargetScope::Calls,
            permille: always(),
            count: None,
            for_ms: None,
            fault,
        }
    }
}

fn always() -> u32 {
    1000
}
