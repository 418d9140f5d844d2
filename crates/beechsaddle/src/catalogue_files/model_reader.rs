//! The `model_reader` module provides the reading of `[[model]]`.

use beechsaddle_core::catalogue::ModelEntry;
use beechsaddle_core::prelude::*;
use beechsaddle_core::target::EngineRole;

use super::header_reader::read_header;
use crate::findings::{FindingList, TableReader};

/// The default output limit of a model, in tokens.
const OUTPUT_LIMIT: u64 = 1_024;

/// The largest output limit, in tokens.
const OUTPUT_LIMIT_MAX: u64 = 10_000_000;

pub(super) fn read_model(
    reader: &TableReader<'_>,
    findings: &mut FindingList,
) -> Option<ModelEntry> {
    let name = reader.require_name("name", findings);
    let header = read_header(reader, findings);
    let service = reader.require_name("service", findings);
    let version = reader.read_u64_or("version", 1, 1..=u64::MAX, findings);
    let adapters = reader.read_names("adapters", findings);
    let choices = [
        ("whole", EngineRole::Whole),
        ("prefill", EngineRole::Prefill),
        ("decode", EngineRole::Decode),
    ];
    let role = reader.read_choice("role", &choices, findings);
    let output_limit =
        reader.read_u64_or("output_limit", OUTPUT_LIMIT, 1..=OUTPUT_LIMIT_MAX, findings);
    reader.finish(findings);
    Some(ModelEntry {
        header: header?,
        name: ModelName::new(name?),
        service: ServiceName::new(service?),
        version,
        adapters,
        role: role.unwrap_or(EngineRole::Whole),
        output_limit,
    })
}
