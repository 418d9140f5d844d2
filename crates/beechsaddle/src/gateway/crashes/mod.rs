//! The `crashes` module provides the protection against requests, and parts of their prompts, that
//! crash the targets that run them.
//!
//! Each router detects crashes in its own attempts and reports them to a coordinator in each
//! domain, which is chosen by rendezvous hashing over the list of routers. Reports that affect
//! every router are broadcast within the domain and written to the store, through which domains
//! that cannot reach each other receive them.

mod crash_broadcast;
mod crash_document;
mod crash_follow;
mod crash_manager;
mod crash_probe;
mod crash_store;
mod crash_trial;

pub(super) use crash_broadcast::receive_crash_reports;
pub(super) use crash_follow::run_crash_follow;
pub(super) use crash_manager::{CrashAdmission, CrashManager, admit_request, record_completion};
pub(super) use crash_probe::{
    RunSuspect, SuspectRun, confirm_completion, detect_crash, run_suspects,
};
pub(super) use crash_store::run_crash_writer;
pub(super) use crash_trial::{TrialGuard, begin_trial, end_trial, run_trial_ends};
