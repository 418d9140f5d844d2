//! The `catalogue_command` module provides `beechsaddle catalogue`.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use beechsaddle_core::catalogue::EntryEdit;
use beechsaddle_core::clock::ClockTime;
use beechsaddle_core::names::OwnerName;
use beechsaddle_core::objects::FleetLayout;
use clap::ArgMatches;

use super::ExitStatus;
use super::command_runtime::{platform_client, report, run_async};
use crate::catalogue_files::{BaseFile, DeclaredCatalogue, read_catalogue, render_catalogue};
use crate::operator::{
    AdminClient, ApplyOptions, ApplyOutcome, ApplyRun, EditPlan, ItemId, OperatorError,
    Result as OperatorResult, diff_catalogue, newest_revision, read_declared, wait_until_effective,
};

/// The author of an edit if neither `--author` nor a login name is given.
const UNKNOWN_AUTHOR: &str = "operator";

/// Runs the given subcommand.
pub(super) fn run(matches: &ArgMatches) -> ExitStatus {
    let result = match matches.subcommand() {
        Some(("check", matches)) => check(matches),
        Some(("diff", matches)) => run_async(diff(matches)),
        Some(("apply", matches)) => run_async(apply(matches)),
        Some(("show", matches)) => run_async(show(matches)),
        Some(_) | None => Ok(ExitStatus::Usage),
    };
    match result {
        Ok(status) => status,
        Err(error) => report(&error),
    }
}

fn check(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let catalogue = read_files(matches)?;
    println!(
        "{} entries and {} budgets are right",
        catalogue.entries.len(),
        catalogue.budgets.len()
    );
    Ok(ExitStatus::Done)
}

async fn diff(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let catalogue = read_files(matches)?;
    let client = platform_client(matches)?;
    let base = match read_base(matches)? {
        Some(base) => base,
        None => base_of_new_files(newest_revision(&client).await?)?,
    };
    let plan = diff_catalogue(&client, &catalogue, &base).await?;
    print_plan(&plan);
    Ok(match plan.conflicts.is_empty() {
        true => ExitStatus::Done,
        false => ExitStatus::Conflict,
    })
}

async fn apply(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let catalogue = read_files(matches)?;
    let client = platform_client(matches)?;
    let base = match read_base(matches)? {
        Some(base) => base,
        None => base_of_new_files(newest_revision(&client).await?)?,
    };
    let run = ApplyRun::new(&client, apply_options(matches), &catalogue, base);
    let result = run.run().await;
    store_base(matches, &result)?;
    let outcome = result?;
    println!("{outcome}");
    if !matches.get_flag("wait") {
        return Ok(ExitStatus::Done);
    }
    let seconds = matches.get_one::<u64>("wait-seconds").copied();
    let time_limit = Duration::from_secs(seconds.unwrap_or_default());
    let admin = AdminClient::try_new()?;
    let waited = wait_until_effective(&client, &admin, outcome.revision, time_limit).await?;
    println!("{waited}");
    Ok(match waited.is_complete() {
        true => ExitStatus::Done,
        false => ExitStatus::Partly,
    })
}

/// Stores the new base with the files, also if the change was committed but could not be completed.
fn store_base(matches: &ArgMatches, result: &OperatorResult<ApplyOutcome>) -> eyre::Result<()> {
    let base = match result {
        Ok(outcome) => &outcome.base,
        Err(
            OperatorError::PartlyRefused { base, .. } | OperatorError::LedgerBehind { base, .. },
        ) => base,
        Err(_) => return Ok(()),
    };
    let directory = directory_of(matches)?;
    base.store(directory).map_err(OperatorError::File)?;
    Ok(())
}

async fn show(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let client = platform_client(matches)?;
    let (revision, catalogue) = read_declared(&client).await?;
    println!("# revision {revision}");
    print!("{}", render_catalogue(&catalogue));
    Ok(ExitStatus::Done)
}

fn read_files(matches: &ArgMatches) -> eyre::Result<DeclaredCatalogue> {
    let directory = directory_of(matches)?;
    read_catalogue(directory).map_err(|findings| OperatorError::Findings(findings).into())
}

fn directory_of(matches: &ArgMatches) -> eyre::Result<&PathBuf> {
    matches
        .get_one::<PathBuf>("directory")
        .ok_or_else(|| eyre::eyre!("no catalogue directory is given"))
}

/// Returns the base of the files, `None` if neither `--base` nor the base file gives one.
fn read_base(matches: &ArgMatches) -> eyre::Result<Option<BaseFile>> {
    if let Some(revision) = matches.get_one::<u64>("base") {
        return Ok(Some(BaseFile {
            revision: *revision,
            ..BaseFile::default()
        }));
    }
    let directory = directory_of(matches)?;
    BaseFile::try_load(directory).map_err(|findings| OperatorError::Findings(findings).into())
}

/// Only the first files of a fleet may lack a base. If the newest revision were assumed, the apply
/// would remove everything that other operators declared.
fn base_of_new_files(newest: u64) -> eyre::Result<BaseFile> {
    match newest {
        0 => Ok(BaseFile::default()),
        newest => Err(OperatorError::NoBase { newest }.into()),
    }
}

fn apply_options(matches: &ArgMatches) -> ApplyOptions {
    let author = matches.get_one::<String>("author").cloned();
    let login = || std::env::var("USER").ok().filter(|name| !name.is_empty());
    let author = author
        .or_else(login)
        .unwrap_or_else(|| UNKNOWN_AUTHOR.to_string());
    let shards = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or(1);
    ApplyOptions {
        author: OwnerName::new(author),
        now: clock_now(),
        layout: FleetLayout {
            ledger_shards: shards("ledger-shards"),
            dedup_shards: shards("dedup-shards"),
        },
    }
}

fn clock_now() -> ClockTime {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    ClockTime::from_millis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

fn print_plan(plan: &EditPlan) {
    for edit in &plan.edits {
        println!("{} {}", sign_of(edit), ItemId::of_edit(edit));
    }
    for name in &plan.pending_budgets {
        println!("~ budget {name} (committed, not yet in the ledger)");
    }
    for missing in &plan.missing {
        println!("! {missing}");
    }
    for conflict in &plan.conflicts {
        println!("{conflict}");
    }
    if plan.is_done() && plan.missing.is_empty() {
        println!("no difference");
    }
}

fn sign_of(edit: &EntryEdit) -> char {
    match edit {
        EntryEdit::Put(_) => '~',
        EntryEdit::Remove(_) => '-',
        EntryEdit::Budget(edit) => match (&edit.before, &edit.after) {
            (None, Some(_)) => '+',
            (Some(_), Some(_)) => '~',
            (Some(_) | None, None) => '-',
        },
    }
}
