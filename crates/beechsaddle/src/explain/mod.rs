//! The `explain` module provides the analysis of routers' logs: the lines about one call, and the
//! sums of all lost calls.

mod call_trace;
mod log_entry;
mod log_index;
mod loss_plot;
mod loss_report;
mod refusal_cause;
mod store_sums;
mod token_account;

pub use call_trace::explain_call;
pub use log_entry::LogEntry;
pub use log_index::LogIndex;
pub use loss_plot::plot_losses;
pub use loss_report::LossReport;
pub use store_sums::StoreSums;
pub use token_account::{TokenAccount, TokenLoss};
