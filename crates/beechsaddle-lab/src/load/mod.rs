//! The `load` module provides an open-loop load generator that checks every response.

mod arrival_plan;
mod call_kind;
mod call_mix;
mod call_outcome;
mod call_request;
mod call_result;
mod call_sender;
mod caller_retry_policy;
mod caller_settings;
mod deployment;
mod deployment_catalogue;
mod fleet_file;
mod http_client;
mod ledger_totals;
mod load_audit;
mod load_options;
mod load_plot;
mod load_report;
mod load_run;
mod load_tally;
mod planned_call;
mod platform_reader;
mod response_reader;
mod run_totals;
mod share_table;
mod soak_plan;
mod soak_run;
mod sse_lines;

use std::sync::Arc;

use clap::{ArgMatches, Command};

use crate::key_values::KeyValues;

pub use arrival_plan::{ArrivalPlan, PlanOptions};
pub use call_kind::CallKind;
pub use call_mix::CallMix;
pub use call_outcome::{CallOutcome, ParsedRefusal, ResponseTimes};
pub use call_request::build_request;
pub use call_result::CallResult;
pub use call_sender::CallSender;
pub use caller_retry_policy::CallerRetryPolicy;
pub use caller_settings::{CallerSettings, CallerWorkspace};
pub use deployment::Deployment;
pub use fleet_file::{FleetDomain, FleetFile, FleetService, FleetWorkspace};
pub use http_client::{HttpClient, OpenConnection};
pub use ledger_totals::LedgerTotals;
pub use load_audit::LoadAudit;
pub use load_options::LoadOptions;
pub use load_plot::draw_chart;
pub use load_report::report_line;
pub use load_run::{LoadOutcome, run_plan};
pub use load_tally::LoadTally;
pub use planned_call::PlannedCall;
pub use platform_reader::PlatformReader;
pub use response_reader::{ResponseReader, contains_mark};
pub use run_totals::RunTotals;
pub use share_table::ShareTable;
pub use soak_plan::{SoakPlan, SoakStep};
pub use soak_run::{SoakOutcome, run_soak};
pub use sse_lines::SseLines;

/// Describes the `load` subcommand.
pub fn command() -> Command {
    let command = Command::new("load").about("Sends calls at random times and checks every answer");
    LoadOptions::add_to(command)
}

/// Runs the `load` subcommand.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let options = LoadOptions::read(matches);
    let runtime = tokio::runtime::Runtime::new()?;
    let (outcome, line) = runtime.block_on(run_chosen(&options))?;
    println!("{line}");
    if let Some(path) = &options.plot {
        draw_chart(&outcome, path)?;
    }
    Ok(())
}

async fn run_chosen(options: &LoadOptions) -> eyre::Result<(LoadOutcome, KeyValues)> {
    if let Some(path) = &options.callers {
        let (outcome, audit) = run_load(options, CallerSettings::try_read(path)?).await?;
        let line = report_line(&outcome).joined(audit.pairs(&outcome.tally));
        return Ok((outcome, line));
    }
    let Some(path) = &options.fleet else {
        eyre::bail!("either --callers FILE or --fleet FILE is needed");
    };
    let deployment = Deployment::new(FleetFile::try_read(path)?);
    if options.soak {
        let soak = run_soak(options, &deployment).await?;
        let line = report_line(&soak.load)
            .with("faults", soak.faults)
            .with("unclean_exits", soak.unclean_exits)
            .joined(soak.audit.pairs(&soak.load.tally));
        return Ok((soak.load, line));
    }
    let fleet = deployment.start().await?;
    let (outcome, audit) = run_load(options, deployment.callers(&fleet)).await?;
    let line = report_line(&outcome).joined(audit.pairs(&outcome.tally));
    Ok((outcome, line))
}

/// Sends the load of `options` to the fleet of `settings`, then reads the records of the platform
/// and the targets on it.
///
/// # Errors
///
/// Returns an error if the run cannot be set up, or if the platform or a target does not respond
/// after it.
pub async fn run_load(
    options: &LoadOptions,
    settings: CallerSettings,
) -> eyre::Result<(LoadOutcome, LoadAudit)> {
    let before = match &settings.platform {
        Some(address) => LedgerTotals::read(&PlatformReader::new(address)).await?,
        None => LedgerTotals::default(),
    };
    let settings = Arc::new(settings);
    let plan = ArrivalPlan::new(options.plan(settings.workspaces.len()));
    let sender = CallSender::new(Arc::clone(&settings), options.retry_policy);
    let outcome = run_plan(plan, sender).await?;
    let audit = LoadAudit::read(&settings, &outcome.tally, before).await?;
    Ok((outcome, audit))
}
