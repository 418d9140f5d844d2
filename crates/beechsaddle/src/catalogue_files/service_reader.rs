//! The `service_reader` module provides the reading of `[[service]]`.

use beechsaddle_core::catalogue::{ServiceEntry, ServiceKind};
use beechsaddle_core::prelude::*;

use super::header_reader::read_header;
use crate::findings::{FindingList, TableReader};

/// The default time limit for the head of a target's response.
const HEAD_TIMEOUT_MS: u64 = 30_000;

/// The longest time limit for the head of a response: one hour.
const HEAD_TIMEOUT_MAX_MS: u64 = 3_600_000;

pub(super) fn read_service(
    reader: &TableReader<'_>,
    findings: &mut FindingList,
) -> Option<ServiceEntry> {
    let name = reader.require_name("name", findings);
    let header = read_header(reader, findings);
    let choices = [
        ("engine", ServiceKind::Engine),
        ("plain", ServiceKind::Plain),
    ];
    let has_kind = reader.require_text("kind", findings).is_some();
    let kind = match has_kind {
        true => reader.read_choice("kind", &choices, findings),
        false => None,
    };
    let repeatable = reader.read_bool("repeatable", findings);
    let call_cost = reader.read_u64("call_cost", 0..=u64::MAX, findings);
    let head_timeout_ms = reader.read_u64_or(
        "head_timeout_ms",
        HEAD_TIMEOUT_MS,
        1..=HEAD_TIMEOUT_MAX_MS,
        findings,
    );
    reader.finish(findings);
    if kind == Some(ServiceKind::Engine) && call_cost.is_some() {
        let message = "is for plain services; a call to an engine costs the tokens it uses";
        reader.report("call_cost", message, findings);
    }
    // By default a plain service is not repeatable, since a wrong default would execute a claim
    // twice. Engines only compute, so their calls can be repeated.
    let default_repeatable = kind == Some(ServiceKind::Engine);
    Some(ServiceEntry {
        header: header?,
        name: ServiceName::new(name?),
        kind: kind?,
        repeatable: repeatable.unwrap_or(default_repeatable),
        call_cost: call_cost.unwrap_or(0),
        head_timeout_ms,
    })
}
