//! The `admission` module provides limits, load shedding and the retry budget.
//!
//! An [`AdmissionGate`] decides at once whether a call may run: there is no queue in which a call
//! could outlive its deadline. A [`RetryPolicy`] decides whether a failed attempt is followed by
//! another one. `docs/ROUTING.md` gives the reason and the proof of each rule.

mod admission_gate;
mod admission_options;
mod admission_pass;
mod call_facts;
mod limit_meter;
mod limit_news;
mod load_shedder;
mod promise_line;
mod rate_bucket;
mod retry_budget;
mod retry_decision;
mod retry_policy;
mod share_window;
mod window_sum;

pub use admission_gate::AdmissionGate;
pub use admission_options::{AdmissionOptions, ShedRange};
pub use admission_pass::AdmissionPass;
pub use call_facts::CallFacts;
pub use retry_budget::RetryBudget;
pub use retry_decision::RetryDecision;
pub use retry_policy::{AttemptFacts, RetryOptions, RetryPolicy};

use limit_meter::{LimitMeter, LimitShort};
use load_shedder::LoadShedder;
use promise_line::PromiseLine;
use rate_bucket::RateBucket;
use share_window::ShareWindow;
use window_sum::WindowSum;
