//! The `orders` module provides orders to model engines.

mod fence_claim;
mod load_limiter;
mod model_plan;
mod order_fence;
mod order_manager;
mod order_options;
mod target_orders;

pub use model_plan::plan_models;
pub use order_fence::OrderFence;
pub use order_manager::OrderManager;
pub use order_options::OrderOptions;
