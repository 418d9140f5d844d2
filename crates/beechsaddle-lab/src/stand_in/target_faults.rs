//! The `target_faults` module provides the faults that engines and plain services inject.

use serde::{Deserialize, Serialize};

/// All active faults of a target stand-in; each `POST /faults` replaces them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// How long connections are refused, in milliseconds.
    pub refuse_ms: u64,
    /// Fault rules; the first rule that matches a request applies.
    pub rules: Vec<TargetRule>,
}

/// A fault and the requests that it applies to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRule {
    /// Restricts the rule to requests of this kind.
    #[serde(default)]
    pub scope: TargetScope,
    /// The share of matching requests that fail, in thousandths.
    #[serde(default = "always")]
    pub permille: u32,
    /// How many requests fail before the rule ends; unlimited when absent.
    #[serde(default)]
    pub count: Option<u32>,
    /// How long the rule applies, in milliseconds; unlimited when absent.
    #[serde(default)]
    pub for_ms: Option<u64>,
    /// The fault to inject.
    pub fault: TargetFault,
}

/// The kinds of requests that a rule applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetScope {
    /// Calls that routers forward.
    #[default]
    Calls,
    /// `GET /health`.
    Health,
    /// `GET /cache-events`.
    CacheEvents,
    /// `POST /orders`.
    Orders,
}

/// What happens to a request that a rule matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum TargetFault {
    /// The response is aborted after this many tokens; that of a plain service after half its body.
    DieAfter {
        /// The number of tokens sent before.
        tokens: u64,
    },
    /// The request is executed but never answered.
    Hang,
    /// The request is executed and answered with 500.
    ServerError,
    /// The request is not executed and answered with 503.
    Busy {
        /// The delay that the response asks for, in milliseconds.
        retry_after_ms: u64,
    },
    /// The response is delayed.
    Late {
        /// The delay in milliseconds.
        ms: u64,
    },
    /// The response names another attempt.
    WrongAttempt,
    /// The request is executed and the connection closes without a response.
    CloseAfterRead,
    /// The response body does not conform to the protocol.
    Garbage,
}

impl TargetRule {
    /// Returns a rule that applies to every call, without a limit.
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
