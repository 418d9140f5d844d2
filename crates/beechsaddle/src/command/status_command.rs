//! The `status_command` module provides `beechsaddle status`.

use std::net::SocketAddr;

use beechsaddle_core::status::RouterStatus;
use clap::ArgMatches;
use eyre::WrapErr;

use super::ExitStatus;
use super::command_runtime::run_async;
use super::gateway_text::gateway_text;
use crate::operator::{AdminClient, StatusReply};

/// Prints the status of a router.
pub(super) fn run(matches: &ArgMatches) -> ExitStatus {
    let Some(address) = matches.get_one::<SocketAddr>("address") else {
        return ExitStatus::Usage;
    };
    let status = run_async(async {
        let client = AdminClient::try_new()?;
        client.any_status(&address.to_string()).await
    });
    let shown = status.and_then(|status| match matches.get_flag("json") {
        true => serde_json::to_string_pretty(&status).wrap_err("cannot write JSON"),
        false => Ok(match &status {
            StatusReply::Router(status) => text_of(status),
            StatusReply::Gateway(status) => gateway_text(status),
        }),
    });
    match shown {
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

fn text_of(status: &RouterStatus) -> String {
    let mut lines = vec![format!(
        "router {} domain={} state={} catalogue_revision={} open_calls={} unjournalled_bills={}",
        status.router,
        status.domain,
        state_name(&status.state),
        status.catalogue_revision,
        status.open_calls,
        status.unjournalled_bills
    )];
    lines.extend(status.peers.iter().map(|peer| {
        format!(
            "peer {} domain={} state={} catalogue_revision={} age_ms={}",
            peer.router, peer.domain, peer.state, peer.catalogue_revision, peer.age_ms
        )
    }));
    lines.extend(status.grants.iter().map(|grant| {
        format!(
            "grant {} granted={} mark={} spent={} reserved={}",
            grant.budget, grant.granted, grant.mark, grant.spent, grant.reserved
        )
    }));
    lines.extend(status.targets.iter().map(|target| {
        format!(
            "target {} service={} state={} ejected={} in_flight={}",
            target.target,
            target.service,
            state_name(&target.state),
            target.ejected,
            target.in_flight
        )
    }));
    lines.join("\n")
}

/// Returns the name of a state in its JSON form.
fn state_name(state: &impl serde::Serialize) -> String {
    match serde_json::to_value(state) {
        Ok(serde_json::Value::String(state_name)) => state_name,
        Ok(_) | Err(_) => String::new(),
    }
}
