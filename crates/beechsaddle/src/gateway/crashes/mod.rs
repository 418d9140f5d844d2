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
mod crash_link;
mod crash_manager;
mod crash_probe;
mod crash_refusal;
mod crash_service;
mod crash_store;
mod crash_trial;
mod trial_guard;

pub(super) use crash_follow::run_crash_follow;
pub(super) use crash_manager::{CrashManager, record_completion};
pub(super) use crash_probe::{
    RunSuspect, SuspectRun, confirm_completion, detect_crash, run_suspects,
};
pub(super) use crash_refusal::refuse_crashing;
pub(super) use crash_store::run_crash_writer;
pub(super) use trial_guard::{TrialGuard, run_trial_ends};
