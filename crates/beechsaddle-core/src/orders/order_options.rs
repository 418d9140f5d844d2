//! The `order_options` module provides the settings of orders to engines.

/// Settings of the [`OrderManager`](super::OrderManager).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderOptions {
    /// How often reported states are compared with declared ones, in milliseconds.
    pub check_period_ms: u64,
    /// How long an engine may take to reach an ordered state before the order is repeated, in
    /// milliseconds. Loading weights takes minutes, and a repeated order changes nothing.
    pub repeat_ms: u64,
    /// How long the reply to a read or write of the fencing number is valid, in milliseconds.
    pub max_answer_age_ms: u64,
    /// How long another live router may take to finish its order before this one takes over, in
    /// milliseconds.
    pub takeover_ms: u64,
    /// The delay after the platform could not be reached, in milliseconds.
    pub retry_ms: u64,
    /// How many loads the routers of one domain start per minute; the weight store's limit.
    pub domain_loads_per_minute: u32,
    /// How many loads the routers of one domain run concurrently; each router may run at least one.
    pub domain_loads_at_once: u32,
    /// How long a load without an observed end counts as running, in milliseconds.
    pub load_timeout_ms: u64,
}

impl Default for OrderOptions {
    fn default() -> Self {
        OrderOptions {
            check_period_ms: 500,
            repeat_ms: 15_000,
            max_answer_age_ms: 1_000,
            takeover_ms: 30_000,
            retry_ms: 1_000,
            domain_loads_per_minute: 30,
            domain_loads_at_once: 8,
            load_timeout_ms: 10 * 60 * 1_000,
        }
    }
}
