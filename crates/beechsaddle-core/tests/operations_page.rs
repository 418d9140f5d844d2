//! Tests that the operations page covers every refusal reason.

use std::collections::BTreeSet;

use beechsaddle_core::refusal::RefusalReason;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Returns the first cells of the table of refusals.
fn listed_reasons() -> BTreeSet<&'static str> {
    PAGE.lines()
        .skip_while(|line| *line != "## What a refusal means")
        .skip(1)
        .take_while(|line| !line.starts_with("## "))
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| line.split('`').next())
        .collect()
}

#[test]
fn operations_page_lists_every_reason() {
    let reasons = RefusalReason::ALL.map(RefusalReason::as_str);
    let expected: BTreeSet<&str> = reasons.into_iter().collect();
    assert_eq!(listed_reasons(), expected);
}

#[test]
fn operations_page_says_what_to_do() {
    for line in PAGE.lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        assert_eq!(cells.len(), 3, "{line}");
        assert!(cells.iter().all(|cell| cell.len() > 3), "{line}");
    }
}
