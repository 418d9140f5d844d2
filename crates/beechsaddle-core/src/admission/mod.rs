//! The `admission` module provides limits, load shedding and the retry budget.
//!
//! An [`AdmissionGate`] decides without queueing whether a call is admitted, so that no call waits
//! past its deadline. A [`RetryPolicy`] decides whether a failed attempt is retried.
//! `docs/ROUTING.md` gives the reason and the proof of each rule.

mod admission_gate;
mod admission_input;
mod admission_options;
mod admission_pass;
mod limit_meter;
mod limit_updates;
mod load_shedder;
mod rate_bucket;
mod retry_budget;
mod retry_decision;
mod retry_policy;
mod retry_slots;
mod share_window;
mod window_sum;

pub use admission_gate::AdmissionGate;
pub use admission_input::AdmissionInput;
pub use admission_options::{AdmissionOptions, ShedRange};
pub use admission_pass::AdmissionPass;
pub use retry_budget::RetryBudget;
pub use retry_decision::RetryDecision;
pub use retry_policy::{FailedAttempt, RetryOptions, RetryPolicy};

use limit_meter::{LimitExceeded, LimitMeter};
use load_shedder::LoadShedder;
use rate_bucket::RateBucket;
use retry_slots::RetrySlots;
use share_window::ShareWindow;
use window_sum::WindowSum;
