//! The `command` module provides the command line.

mod catalogue_command;
mod check_command;
mod command_line;
mod command_runtime;
mod exit_status;
mod explain_command;
mod gateway_text;
mod router_command;
mod statement_command;
mod status_command;

use std::process::ExitCode;

pub use command_line::command_line;
pub use exit_status::ExitStatus;

pub fn run() -> ExitCode {
    let matches = command_line().get_matches();
    let status = match matches.subcommand() {
        Some(("router", matches)) => router_command::run(matches),
        Some(("check", matches)) => check_command::run(matches),
        Some(("catalogue", matches)) => catalogue_command::run(matches),
        Some(("explain", matches)) => explain_command::run(matches),
        Some(("status", matches)) => status_command::run(matches),
        Some(("statement", matches)) => statement_command::run(matches),
        Some(_) | None => ExitStatus::Usage,
    };
    ExitCode::from(status)
}
