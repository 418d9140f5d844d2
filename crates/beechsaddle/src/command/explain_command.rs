//! The `explain_command` module provides `beechsaddle explain`.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use eyre::{Result, WrapErr, bail};

use super::ExitStatus;
use crate::explain::{LogIndex, LossReport, StoreSums, TokenAccount, explain_call, plot_losses};

/// Prints the log lines that explain one call, or the sums of all lost calls.
pub(super) fn run(matches: &ArgMatches) -> ExitStatus {
    match explain(matches) {
        Ok(text) => {
            println!("{text}");
            ExitStatus::Done
        }
        Err(error) => {
            eprintln!("{error:#}");
            ExitStatus::Failed
        }
    }
}

fn explain(matches: &ArgMatches) -> Result<String> {
    let mut arguments = matches.get_many::<String>("words").into_iter().flatten();
    if matches.get_flag("losses") {
        let index = read_logs(arguments)?;
        let report = LossReport::of(&index);
        if let Some(path) = matches.get_one::<PathBuf>("plot") {
            plot_losses(&report, path)?;
        }
        let account = TokenAccount::of(&index);
        let sums = StoreSums::of(&index);
        return Ok(format!("{report}\n{account}{sums}"));
    }
    let Some(id) = arguments.next() else {
        bail!("the id of a call is missing");
    };
    let index = read_logs(arguments)?;
    match explain_call(&index, id) {
        Some(lines) => Ok(lines.join("\n")),
        None => bail!(
            "no line has the id {id:?}: it reached none of these routers, or its lines were left out under load ({} lines cannot be read)",
            index.unreadable()
        ),
    }
}

fn read_logs<'a>(files: impl Iterator<Item = &'a String>) -> Result<LogIndex> {
    let mut index = LogIndex::default();
    let mut has_file = false;
    for file in files {
        has_file = true;
        let added = index.try_add_file(Path::new(file));
        added.wrap_err_with(|| format!("{file} cannot be read"))?;
    }
    if !has_file {
        bail!("no log file is given");
    }
    index.sort();
    Ok(index)
}
