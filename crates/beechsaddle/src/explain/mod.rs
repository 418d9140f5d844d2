//! The `explain` module provides what the logs of routers tell of one call, and of all that were lost.

mod call_story;
mod log_book;
mod log_entry;
mod loss_plot;
mod loss_report;
mod store_sums;
mod token_account;

pub use call_story::tell_call;
pub use log_book::LogBook;
pub use log_entry::LogEntry;
pub use loss_plot::plot_losses;
pub use loss_report::LossReport;
pub use store_sums::StoreSums;
pub use token_account::{TokenAccount, TokenLoss};
