//! The `platform_faults` module provides what can go wrong at the platform.

use serde::{Deserialize, Serialize};

/// Everything that is wrong at the platform now; each `POST /faults` replaces it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// For how many milliseconds connections are refused, for everybody.
    pub refuse_ms: u64,
    /// Rules; the first that matches a call applies.
    pub rules: Vec<FaultRule>,
    /// Limits of rates.
    pub limits: RateLimits,
}

/// Calls a second; `None` is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RateLimits {
    /// Reads, lists and watches.
    pub reads_per_second: Option<u32>,
    /// Writes and deletes.
    pub writes_per_second: Option<u32>,
}

/// A fault and the calls that it hits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// Only calls on keys, or with list or watch prefixes, that start so.
    #[serde(default)]
    pub prefix: String,
    /// Only calls of routers on these hosts, as told by `Beechsaddle-Router`; empty hits all.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// Only calls of this kind.
    #[serde(default)]
    pub scope: CallScope,
    /// The share of these calls that is hit, in thousandths.
    #[serde(default = "always")]
    pub permille: u32,
    /// How long the rule holds, in milliseconds; without end when absent.
    #[serde(default)]
    pub for_ms: Option<u64>,
    /// What happens.
    pub fault: PlatformFault,
}

/// Which calls a rule is about.
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

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum PlatformFault {
    /// The connection closes and nothing takes effect.
    Close,
    /// `503` with `Retry-After-Ms`; nothing takes effect.
    Unavailable {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// No answer ever comes and nothing takes effect.
    Hang,
    /// The call takes effect and then the connection closes without an answer.
    LostAnswer,
    /// The connection closes, and the write takes effect some time later.
    LateWrite {
        /// How much later, in milliseconds.
        late_ms: u64,
    },
    /// The call takes effect this much later, if its caller is still there.
    Delay {
        /// How much later, in milliseconds.
        ms: u64,
    },
    /// The answer is not what the API says.
    Garbage,
}

impl FaultRule {
    /// A rule that hits every call, without end.
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

    /// Whether the rule is about a call.
    pub fn matches(&self, scope: CallScope, key: &str, host: &str) -> bool {
        let scope_matches = self.scope == CallScope::All || self.scope == scope;
        let host_matches = self.hosts.is_empty() || self.hosts.iter().any(|name| name == host);
        scope_matches && host_matches && key.starts_with(&self.prefix)
    }
}

fn always() -> u32 {
    1000
}
