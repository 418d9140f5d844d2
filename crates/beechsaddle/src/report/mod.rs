//! The `report` module provides the edge that writes logs and metrics.
//!
//! It runs on its own thread, so that a slow log reader or network never blocks a decision. Lines
//! and counts that do not fit into its ring are dropped, and their number is logged later.

mod line_fields;
mod log_sink;
mod metric_sink;
mod report_edge;
mod report_handle;
mod report_options;

pub use report_edge::ReportEdge;
pub use report_handle::ReportHandle;
pub use report_options::ReportOptions;
