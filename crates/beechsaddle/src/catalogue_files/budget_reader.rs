//! The `budget_reader` module provides the reading of `[[budget]]`.

use std::collections::BTreeMap;

use beechsaddle_core::catalogue::BudgetDeclaration;
use beechsaddle_core::prelude::*;

use crate::findings::{FindingList, TableReader};

/// The largest top-up, in tokens, such that the sum of several thousand fits into 64 bits.
const TOP_UP_MAX: u64 = 1_000_000_000_000_000;

pub(super) fn read_budget(
    reader: &TableReader<'_>,
    findings: &mut FindingList,
) -> Option<BudgetDeclaration> {
    let name = reader.require_name("name", findings);
    let owner = reader.require_name("owner", findings);
    let workspace = reader.require_name("workspace", findings);
    let top_ups = read_top_ups(reader, findings);
    reader.finish(findings);
    Some(BudgetDeclaration {
        name: BudgetName::new(name?),
        owner: OwnerName::new(owner?),
        workspace: WorkspaceName::new(workspace?),
        top_ups,
    })
}

fn read_top_ups(reader: &TableReader<'_>, findings: &mut FindingList) -> BTreeMap<TopUpId, u64> {
    let mut top_ups = BTreeMap::new();
    for table in reader.read_tables("top_up", findings) {
        let id = table.require_name("id", findings);
        let has_tokens = table.has("tokens");
        let tokens = table.read_u64("tokens", 1..=TOP_UP_MAX, findings);
        if !has_tokens {
            table.report("tokens", "is missing; an amount would be right", findings);
        }
        table.finish(findings);
        let (Some(id), Some(tokens)) = (id, tokens) else {
            continue;
        };
        let is_duplicate = top_ups.insert(TopUpId::new(&id), tokens).is_some();
        if is_duplicate {
            let message = format!("{id} is there already; an own id would be right");
            table.report("id", message, findings);
        }
    }
    top_ups
}
