//! The `check_command` module provides `beechsaddle check`.

use std::path::PathBuf;

use clap::ArgMatches;

use super::ExitStatus;
use crate::findings::FindingList;
use crate::gateway::{GatewaySettings, is_gateway_file};
use crate::settings::RouterSettings;

/// Checks settings files and prints the findings of all of them.
pub(super) fn run(matches: &ArgMatches) -> ExitStatus {
    let mut findings = FindingList::new();
    let mut files = 0;
    for file in matches.get_many::<PathBuf>("file").into_iter().flatten() {
        files += 1;
        let checked = match is_gateway_file(file) {
            true => GatewaySettings::try_load(file).map(|_| ()),
            false => RouterSettings::try_load(file).map(|_| ()),
        };
        if let Err(found) = checked {
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
