//! The `order_fence` module provides the durable fencing number of a target's orders.

use serde::{Deserialize, Serialize};

use crate::names::RouterIncarnation;

/// The router that orders a target, stored at `orders/<target>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderFence {
    /// Grows by one each time a router takes over or orders by a newer catalogue.
    pub number: u64,
    pub issuer: RouterIncarnation,
    /// The catalogue revision of the orders; no router takes over with an older one.
    pub revision: u64,
}
