//! The `catalogue_cost` module provides the memory and edit time of a router's catalogue.

use std::collections::BTreeMap;
use std::time::Instant;

use beechsaddle_core::catalogue::{
    BudgetDeclaration, BudgetEdit, CatalogueChange, CatalogueEntry, CatalogueView, EntryEdit,
};
use beechsaddle_core::clock::ClockTime;
use beechsaddle_core::names::BudgetName;

use super::sample_objects::{budget_name, workspace, workspace_name};
use super::{ProcessCost, SlopeFit};
use crate::key_values::KeyValues;

/// The sizes of the measured catalogues in workspaces; the last is the size designed for.
const COUNTS: [u64; 5] = [1_000, 5_000, 10_000, 15_000, 25_000];

/// Budgets per workspace: 650,000 budgets in 25,000 workspaces.
const BUDGETS_EACH: u64 = 26;

/// Number of single-entry edits timed at each size.
const TIMED_EDITS: u64 = 200;

/// Grows a catalogue, and measures resident memory and the time of an edit at each size.
pub fn run(_seed: u64) -> Vec<String> {
    let mut view = CatalogueView::new();
    let before = rss_kib();
    let mut lines = Vec::new();
    let mut memory = Vec::new();
    let mut time = Vec::new();
    let mut next = 0;
    for count in COUNTS {
        while next < count {
            apply(&mut view, next);
            next += 1;
        }
        let kib = rss_kib().saturating_sub(before);
        let micros = time_edits(&mut view, count);
        memory.push((count as f64, kib as f64));
        time.push((count as f64, micros));
        let line = KeyValues::new()
            .with("workspaces", count)
            .with("rss_kib", kib)
            .with_float("edit_us", micros);
        lines.push(line.to_string());
    }
    lines.extend(fit_line("rss_kib", &memory));
    lines.extend(fit_line("edit_us", &time));
    lines
}

fn apply(view: &mut CatalogueView, number: u64) {
    let mut edits = vec![EntryEdit::Put(workspace_of(number))];
    let first = number * BUDGETS_EACH;
    edits.extend((first..first + BUDGETS_EACH).map(|budget| budget_edit(number, budget)));
    let change = CatalogueChange {
        revision: view.revision() + 1,
        write_id: String::new(),
        author: "team-of-the-day-shift".into(),
        applied: ClockTime::ZERO,
        edits,
    };
    view.apply(&change);
}

/// Returns a workspace whose default budget is its first one.
fn workspace_of(number: u64) -> CatalogueEntry {
    let mut entry = workspace(number);
    if let CatalogueEntry::Workspace(workspace) = &mut entry {
        workspace.budget = Some(budget_name(number * BUDGETS_EACH).as_str().into());
    }
    entry
}

/// Returns a budget declaration, which every router receives with a change but does not retain.
fn budget_edit(workspace: u64, budget: u64) -> EntryEdit {
    let name: BudgetName = budget_name(budget).as_str().into();
    let declaration = BudgetDeclaration {
        name: name.clone(),
        owner: "team-of-the-day-shift".into(),
        workspace: workspace_name(workspace).as_str().into(),
        top_ups: BTreeMap::from([("2026-q4".into(), 50_000_000)]),
    };
    EntryEdit::Budget(BudgetEdit {
        name,
        before: None,
        after: Some(declaration),
    })
}

fn time_edits(view: &mut CatalogueView, count: u64) -> f64 {
    let start = Instant::now();
    for edit in 0..TIMED_EDITS {
        apply(view, edit * (count / TIMED_EDITS));
    }
    start.elapsed().as_secs_f64() * 1e6 / TIMED_EDITS as f64
}

fn rss_kib() -> u64 {
    ProcessCost::read_own().map_or(0, |cost| cost.rss_kib)
}

fn fit_line(unit: &str, points: &[(f64, f64)]) -> Option<String> {
    Some(SlopeFit::of(points)?.pairs(unit, "workspace").to_string())
}
