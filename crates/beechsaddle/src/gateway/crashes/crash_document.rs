//! The `crash_document` module provides the encoding of crash reports in the store.

use beechsaddle_core::gateway::{CrashFacts, CrashReport, SuspectKey, TargetIncarnation};
use beechsaddle_core::prelude::*;
use beechsaddle_platform::{JsonError, StoreObject};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The name of the one crash object that all routers share.
pub(super) const CRASHES_NAME: &str = "main";

#[derive(Debug, Default, Deserialize, Serialize)]
struct CrashDocument {
    #[serde(default)]
    crashes: Vec<Value>,
}

#[derive(Debug, Deserialize, Serialize)]
struct CrashEntry {
    request: String,
    target: String,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    started: Option<u64>,
    known_before: u32,
    run_ms: u32,
    is_cleared: bool,
    seen_at: ClockTime,
}

impl CrashEntry {
    fn new(report: &CrashReport) -> Self {
        let CrashReport { key, target, facts } = report;
        CrashEntry {
            request: key.to_string(),
            target: target.name.to_string(),
            started: target.started,
            known_before: facts.known_before,
            run_ms: facts.run_ms,
            is_cleared: facts.is_cleared,
            seen_at: facts.seen_at,
        }
    }

    fn read(self) -> Option<CrashReport> {
        Some(CrashReport {
            key: SuspectKey::try_parse(&self.request)?,
            target: TargetIncarnation {
                name: TargetName::new(&self.target),
                started: self.started,
            },
            facts: CrashFacts {
                known_before: self.known_before,
                run_ms: self.run_ms,
                is_cleared: self.is_cleared,
                seen_at: self.seen_at,
            },
        })
    }
}

/// Decodes the crash reports of an object. An entry that cannot be read, such as one of another
/// version, is skipped.
///
/// # Errors
///
/// Returns an error if the object as a whole is not a crash document.
pub(super) fn read_crashes(object: &StoreObject) -> Result<Vec<CrashReport>, JsonError> {
    let document: CrashDocument = object.try_content()?;
    let entries = document.crashes.into_iter();
    let entries = entries.filter_map(|value| CrashEntry::deserialize(value).ok());
    Ok(entries.filter_map(CrashEntry::read).collect())
}

/// Encodes crash reports as an object.
///
/// # Errors
///
/// Returns an error if a report cannot be encoded as JSON.
pub(super) fn write_crashes<'a>(
    reports: impl IntoIterator<Item = &'a CrashReport>,
) -> Result<Value, serde_json::Error> {
    let entries = reports.into_iter();
    let entries = entries.map(|report| serde_json::to_value(CrashEntry::new(report)));
    serde_json::to_value(CrashDocument {
        crashes: entries.collect::<Result<_, _>>()?,
    })
}
