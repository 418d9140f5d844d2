//! The `order_fence` module provides the durable fencing number of a target's orders.

use serde::{Deserialize, Serialize};

use crate::names::RouterIncarnation;

/// Who orders a target, at `orders/<target>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderFence {
    /// Grows by one each time a router takes over, or orders by a newer catalogue.
    pub number: u64,
    /// The router that orders.
    pub issuer: RouterIncarnation,
    /// The catalogue revision that it orders by; no router takes over with an older one.
    pub revision: u64,
}
