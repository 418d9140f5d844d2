//! The `order_options` module provides the settings of orders to engines.

/// Settings of the [`OrderDesk`](super::OrderDesk).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderOptions {
    /// How often the reported states are compared with the declared ones, in milliseconds.
    pub check_period_ms: u64,
    /// How long an engine is given to reach an ordered state before the order is repeated, in
    /// milliseconds; loading weights takes minutes, and a repeated order changes nothing.
    pub repeat_ms: u64,
    /// How long a fencing number that was read counts as current, in milliseconds.
    pub fresh_ms: u64,
    /// How long another live router is left to finish what it orders, in milliseconds.
    pub yield_ms: u64,
    /// How long to wait after the platform could not be reached, in milliseconds.
    pub retry_ms: u64,
    /// How many loads the routers of one domain start in a minute, by the weight store's limit.
    pub domain_loads_per_minute: u32,
    /// How many loads the routers of one domain have under way at once; each router has at least
    /// one.
    pub domain_loads_at_once: u32,
    /// After how many milliseconds a load that was not seen to end no longer counts.
    pub load_timeout_ms: u64,
}

impl Default for OrderOptions {
    fn default() -> Self {
        OrderOptions {
            check_period_ms: 500,
            repeat_ms: 15_000,
            fresh_ms: 1_000,
            yield_ms: 30_000,
            retry_ms: 1_000,
            domain_loads_per_minute: 30,
            domain_loads_at_once: 8,
            load_timeout_ms: 10 * 60 * 1_000,
        }
    }
}
