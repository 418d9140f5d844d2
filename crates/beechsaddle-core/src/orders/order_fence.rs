//! The `order_fence` module provides the durable fencing number of a target's orders.

use serde::{Deserialize, Serialize};

use crate::names::RouterIncarnation;

/// Who orders a target, at `orders/<target>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderFence {
    /// Grows by one each time another router takes over.
    pub number: u64,
    /// The router that orders.
    pub issuer: RouterIncarnation,
}
