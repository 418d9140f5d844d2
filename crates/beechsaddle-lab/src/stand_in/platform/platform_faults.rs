//! The `platform_faults` module provides the faults that the platform stand-in injects.

use serde::{Deserialize, Serialize};

/// All active faults of the platform stand-in; each `POST /faults` replaces them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// How long connections of all clients are refused, in milliseconds.
    pub refuse_ms: u64,
    /// Fault rules; the first rule that matches a call applies.
    pub rules: Vec<FaultRule>,
    /// Rate limits of calls.
    pub limits: RateLimits,
}

/// Rate limits in calls per second; `None` is unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RateLimits {
    /// Limit of reads, lists and watches together.
    pub reads_per_second: Option<u32>,
    /// Limit of writes and deletes together.
    pub writes_per_second: Option<u32>,
}

/// A fault and the calls that it applies to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// Restricts the rule to calls whose key, or list or watch prefix, starts with this text.
    #[serde(default)]
    pub prefix: String,
    /// Restricts the rule to routers on these hosts, as named in `Beechsaddle-Router`; empty
    /// matches all.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// Restricts the rule to calls of this kind.
    #[serde(default)]
    pub scope: CallScope,
    /// The share of matching calls that fail, in thousandths.
    #[serde(default = "always")]
    pub permille: u32,
    /// How long the rule applies, in milliseconds; unlimited when absent.
    #[serde(default)]
    pub for_ms: Option<u64>,
    /// The fault to inject.
    pub fault: PlatformFault,
}

/// The kinds of calls that a rule applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallScope {
    /// All calls.
    #[default]
    All,
    /// Writes and deletes.
    Writes,
    /// Reads and lists.
    Reads,
    /// Watches.
    Watches,
}

/// What happens to a call that a rule matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum PlatformFault {
    /// The connection closes and the call has no effect.
    Close,
    /// The response is `503` with `Retry-After-Ms`, and the call has no effect.
    Unavailable {
        /// The delay that the response asks for, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request is never answered and has no effect.
    Hang,
    /// The call takes effect and then the connection closes without a response.
    LostAnswer,
    /// The connection closes, and the write takes effect after a delay.
    LateWrite {
        /// The delay in milliseconds.
        late_ms: u64,
    },
    /// The call takes effect after a delay, if its client is still connected.
    Delay {
        /// The delay in milliseconds.
        ms: u64,
    },
    /// The response body does not conform to the API.
    Garbage,
}

impl FaultRule {
    /// Returns a rule that applies to every call, without a time limit.
    pub fn all(fault: PlatformFault) -> Self {
        FaultRule {
            prefix: String::new(),
            hosts: Vec::new(),
            scope: CallScope::All,
            permille: always(),
            for_ms: None,
            fault,
        }
    }

    /// Whether the rule applies to a call.
    pub fn matches(&self, scope: CallScope, key: &str, host: &str) -> bool {
        let scope_matches = self.scope == CallScope::All || self.scope == scope;
        let host_matches = self.hosts.is_empty() || self.hosts.iter().any(|name| name == host);
        scope_matches && host_matches && key.starts_with(&self.prefix)
    }
}

fn always() -> u32 {
    1000
}
