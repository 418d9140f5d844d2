//! The `crashes` module provides the guard against requests that crash the targets which run them.
//!
//! Each router sees the crashes of its own attempts. One router of each domain hears of them first, by rendezvous
//! hashing over the list of routers; what concerns everybody goes to all routers of its domain and to the store, by
//! which domains that are cut off from each other hear of it too.

mod crash_desk;
mod crash_document;
mod crash_follow;
mod crash_probe;
mod crash_spread;
mod crash_store;

pub(super) use crash_desk::{CrashAdmission, CrashDesk, TrialGuard, admit_request, note_completed};
pub(super) use crash_follow::run_crash_follow;
pub(super) use crash_probe::{SuspectRun, look_for_crash};
pub(super) use crash_spread::take_notes;
pub(super) use crash_store::run_crash_writer;
