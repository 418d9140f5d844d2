//! The `targets` module provides the choice of a target for each call.
//!
//! The [`TargetTable`] combines the delayed host list, probes, reports of peers and the outcomes of
//! calls into one view and chooses by it. `docs/ROUTING.md` gives the reason and the proof of each
//! rule.

mod affinity_target;
mod call_work;
mod choice_policy;
mod choice_request;
mod load_estimate;
mod outlier_detector;
mod prefix_index;
mod prefix_tree;
mod probe_state;
mod service_load;
mod state_report;
mod table_choice;
mod table_engines;
mod table_probes;
mod table_updates;
mod target_choice;
mod target_entry;
mod target_options;
mod target_picker;
mod target_table;

pub use call_work::CallWork;
pub use choice_policy::ChoicePolicy;
pub use choice_request::ChoiceRequest;
pub use load_estimate::LoadEstimate;
pub use prefix_index::PrefixIndex;
pub use prefix_tree::{PrefixBranch, PrefixTree};
pub use service_load::ServiceLoad;
pub use state_report::{ReportMerge, StateReport};
pub use table_engines::EngineUpdate;
pub use target_choice::{ChosenTarget, TargetChoice};
pub use target_options::TargetOptions;
pub use target_table::TargetTable;

use outlier_detector::OutlierDetector;
use probe_state::ProbeState;
use target_entry::TargetEntry;
use target_picker::TargetPicker;
