//! The `check_command` module provides `beechsaddle check`.

use std::path::PathBuf;

use clap::ArgMatches;

use super::ExitStatus;
use crate::findings::FindingList;
use crate::settings::RouterSettings;

/// Checks settings files and shows the findings of all.
pub(super) fn run(matches: &ArgMatches) -> ExitStatus {
    let mut findings = FindingList::new();
    let mut files = 0;
    for file in matches.get_many::<PathBuf>("file").into_iter().flatten() {
        files += 1;
        if let Err(found) = RouterSettings::try_load(file) {
            findings.merge(found);
        }
    }
    if findings.is_empty() {
        println!("{files} files are right");
        return ExitStatus::Done;
    }
    println!("{findings}");
    ExitStatus::Findings
}
