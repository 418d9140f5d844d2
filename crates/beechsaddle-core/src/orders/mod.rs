//! The `orders` module provides orders to model engines.

mod order_fence;

pub use order_fence::OrderFence;
