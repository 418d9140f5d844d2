//! The `service_reader` module provides the reading of `[[service]]`.

use beechsaddle_core::catalogue::{ServiceEntry, ServiceKind};
use beechsaddle_core::prelude::*;

use super::header_reader::read_header;
use crate::findings::{FindingList, TableReader};

/// How long a target may take to the head of its answer when the entry does not say.
const HEAD_TIMEOUT_MS: u64 = 30_000;

/// The longest such time: an hour.
const HEAD_TIMEOUT_MAX_MS: u64 = 3_600_000;

/// Reads a service.
pub(super) fn read_service(
    reader: &TableReader<'_>,
    findings: &mut FindingList,
) -> Option<ServiceEntry> {
    let name = reader.need_name("name", findings);
    let header = read_header(reader, findings);
    let words = [
        ("engine", ServiceKind::Engine),
        ("plain", ServiceKind::Plain),
    ];
    let has_kind = reader.need_text("kind", findings).is_some();
    let kind = match has_kind {
        true => reader.read_word("kind", &words, findings),
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
        let what = "is for plain services; a call to an engine costs the tokens it uses";
        reader.report("call_cost", what, findings);
    }
    // A service is taken to be not repeatable unless it says so: the other mistake runs a claim
    // twice. Engines only compute, so that their calls can be repeated.
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
