//! The `explain_command` module provides `beechsaddle explain`.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use eyre::{Result, WrapErr, bail};

use super::ExitStatus;
use crate::explain::{LogBook, LossReport, StoreSums, TokenAccount, plot_losses, tell_call};

/// Shows what logs tell of one call, or of all that were lost.
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
    let mut words = matches.get_many::<String>("words").into_iter().flatten();
    if matches.get_flag("losses") {
        let book = read_logs(words)?;
        let report = LossReport::of(&book);
        if let Some(path) = matches.get_one::<PathBuf>("plot") {
            plot_losses(&report, path)?;
        }
        let account = TokenAccount::of(&book);
        let sums = StoreSums::of(&book);
        return Ok(format!("{report}\n{account}{sums}"));
    }
    let Some(id) = words.next() else {
        bail!("the id of a call is missing");
    };
    let book = read_logs(words)?;
    match tell_call(&book, id) {
        Some(lines) => Ok(lines.join("\n")),
        None => bail!(
            "no line has the id {id:?}: it reached none of these routers, or its lines were left out under load ({} lines cannot be read)",
            book.unreadable()
        ),
    }
}

fn read_logs<'a>(files: impl Iterator<Item = &'a String>) -> Result<LogBook> {
    let mut book = LogBook::default();
    let mut has_file = false;
    for file in files {
        has_file = true;
        let added = book.try_add_file(Path::new(file));
        added.wrap_err_with(|| format!("{file} cannot be read"))?;
    }
    if !has_file {
        bail!("no log is named");
    }
    book.sort();
    Ok(book)
}
