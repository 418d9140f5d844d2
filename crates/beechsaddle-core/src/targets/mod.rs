//! The `targets` module provides which target gets a call.
//!
//! The [`TargetTable`] joins the lagging host list, probes, the word of peers and what calls tell
//! into one view, and chooses by it. `docs/ROUTING.md` gives the reason and the proof of each rule.

mod call_work;
mod choice_policy;
mod choice_request;
mod fork_table;
mod home_target;
mod load_estimate;
mod outlier_watch;
mod prefix_index;
mod probe_state;
mod service_load;
mod table_choice;
mod table_engines;
mod table_news;
mod table_probes;
mod target_choice;
mod target_entry;
mod target_options;
mod target_picker;
mod target_table;
mod target_word;

pub use call_work::CallWork;
pub use choice_policy::ChoicePolicy;
pub use choice_request::ChoiceRequest;
pub use fork_table::{ForkTable, PromptFork};
pub use load_estimate::LoadEstimate;
pub use prefix_index::PrefixIndex;
pub use service_load::ServiceLoad;
pub use table_engines::EngineNews;
pub use target_choice::{ChosenTarget, TargetChoice};
pub use target_options::TargetOptions;
pub use target_table::TargetTable;
pub use target_word::{TargetWord, WordMerge};

use outlier_watch::OutlierWatch;
use probe_state::ProbeState;
use target_entry::TargetEntry;
use target_picker::TargetPicker;
