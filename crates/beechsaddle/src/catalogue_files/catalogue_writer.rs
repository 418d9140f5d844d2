//! The `catalogue_writer` module provides the formatting of a catalogue as TOML.

use std::fmt::Write as _;

use beechsaddle_core::call::KeyDigest;
use beechsaddle_core::catalogue::{
    BudgetDeclaration, CatalogueEntry, EntryClass, EntryHeader, ModelEntry, ServiceEntry,
    ServiceKind, WorkspaceEntry,
};
use beechsaddle_core::target::EngineRole;

use super::DeclaredCatalogue;

/// Formats a catalogue as one TOML file. Parsing the file yields the same catalogue.
///
/// Names contain no characters that TOML requires to be escaped, so they are quoted as they are.
pub fn render_catalogue(catalogue: &DeclaredCatalogue) -> String {
    let mut text = String::new();
    for entry in catalogue.entries.values() {
        let lines = match entry {
            CatalogueEntry::Workspace(entry) => workspace_lines(entry),
            CatalogueEntry::Service(entry) => service_lines(entry),
            CatalogueEntry::Model(entry) => model_lines(entry),
        };
        push_lines(&mut text, lines);
    }
    for budget in catalogue.budgets.values() {
        push_lines(&mut text, budget_lines(budget));
    }
    text
}

fn push_lines(text: &mut String, lines: Vec<String>) {
    text.push('\n');
    for line in lines {
        text.push_str(&line);
        text.push('\n');
    }
}

fn workspace_lines(entry: &WorkspaceEntry) -> Vec<String> {
    let mut lines = vec!["[[workspace]]".to_string()];
    lines.push(format!("name = \"{}\"", entry.name));
    let digests: Vec<String> = entry.keys.iter().map(digest_text).collect();
    lines.push(list_line("keys", &digests));
    if let Some(budget) = &entry.budget {
        lines.push(format!("budget = \"{budget}\""));
    }
    lines.push(list_line("services", &entry.services));
    lines.push(list_line("models", &entry.models));
    lines.extend(header_lines(&entry.header));
    lines
}

fn service_lines(entry: &ServiceEntry) -> Vec<String> {
    let mut lines = vec!["[[service]]".to_string()];
    lines.push(format!("name = \"{}\"", entry.name));
    let kind = match entry.kind {
        ServiceKind::Engine => "engine",
        ServiceKind::Plain => "plain",
    };
    lines.push(format!("kind = \"{kind}\""));
    lines.push(format!("repeatable = {}", entry.repeatable));
    match entry.kind {
        ServiceKind::Engine => {}
        ServiceKind::Plain => lines.push(format!("call_cost = {}", entry.call_cost)),
    }
    lines.push(format!("head_timeout_ms = {}", entry.head_timeout_ms));
    lines.extend(header_lines(&entry.header));
    lines
}

fn model_lines(entry: &ModelEntry) -> Vec<String> {
    let mut lines = vec!["[[model]]".to_string()];
    lines.push(format!("name = \"{}\"", entry.name));
    lines.push(format!("service = \"{}\"", entry.service));
    lines.push(format!("version = {}", entry.version));
    lines.push(list_line("adapters", &entry.adapters));
    let role = match entry.role {
        EngineRole::Whole => "whole",
        EngineRole::Prefill => "prefill",
        EngineRole::Decode => "decode",
    };
    lines.push(format!("role = \"{role}\""));
    lines.push(format!("output_limit = {}", entry.output_limit));
    lines.extend(header_lines(&entry.header));
    lines
}

fn budget_lines(budget: &BudgetDeclaration) -> Vec<String> {
    let mut lines = vec!["[[budget]]".to_string()];
    lines.push(format!("name = \"{}\"", budget.name));
    lines.push(format!("owner = \"{}\"", budget.owner));
    lines.push(format!("workspace = \"{}\"", budget.workspace));
    for (id, tokens) in &budget.top_ups {
        lines.push("[[budget.top_up]]".to_string());
        lines.push(format!("id = \"{id}\""));
        lines.push(format!("tokens = {tokens}"));
    }
    lines
}

fn header_lines(header: &EntryHeader) -> Vec<String> {
    let class = match header.class {
        EntryClass::Batch => "batch",
        EntryClass::Standard => "standard",
        EntryClass::Critical => "critical",
    };
    let limits = [
        ("concurrency", header.limits.concurrency.map(u64::from)),
        (
            "requests_per_second",
            header.limits.requests_per_second.map(u64::from),
        ),
        ("tokens_per_minute", header.limits.tokens_per_minute),
    ];
    let limits: Vec<String> = limits
        .iter()
        .filter_map(|(name, limit)| limit.map(|limit| format!("{name} = {limit}")))
        .collect();
    let mut lines = vec![format!("owner = \"{}\"", header.owner)];
    lines.push(format!("class = \"{class}\""));
    if !limits.is_empty() {
        lines.push(format!("limits = {{ {} }}", limits.join(", ")));
    }
    lines
}

fn list_line(key: &str, values: &[impl std::fmt::Display]) -> String {
    let values: Vec<String> = values.iter().map(|value| format!("\"{value}\"")).collect();
    format!("{key} = [{}]", values.join(", "))
}

fn digest_text(digest: &KeyDigest) -> String {
    let mut text = String::from("sha256:");
    for byte in digest.0 {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
