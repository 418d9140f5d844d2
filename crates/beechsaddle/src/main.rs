//! The beechsaddle router and its command line.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    beechsaddle::command::run()
}
