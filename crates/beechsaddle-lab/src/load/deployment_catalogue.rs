//! The `deployment_catalogue` module provides the operator's catalogue file of a deployment.

use beechsaddle_core::catalogue::{EntryClass, ServiceKind};
use sha2::{Digest, Sha256};
use toml::{Table, Value};

use super::{FleetFile, FleetService, FleetWorkspace};

/// Owner of all catalogue entries of a test deployment.
const OWNER: &str = "lab";

/// Output limit of a chat in tokens.
const OUTPUT_LIMIT: i64 = 4_096;

/// Returns the catalogue as TOML in the format of `docs/CATALOGUE.md`.
pub fn catalogue_text(file: &FleetFile) -> String {
    let workspaces = file.workspaces.iter();
    let services = file.services.iter();
    let mut catalogue = Table::new();
    let mut add = |name: &str, entries: Vec<Value>| {
        catalogue.insert(name.to_owned(), Value::Array(entries));
    };
    add(
        "workspace",
        workspaces
            .clone()
            .map(|entry| workspace_entry(file, entry))
            .collect(),
    );
    add("budget", workspaces.map(budget_entry).collect());
    add("service", services.clone().map(service_entry).collect());
    add("model", services.filter_map(model_entry).collect());
    catalogue.to_string()
}

fn workspace_entry(file: &FleetFile, workspace: &FleetWorkspace) -> Value {
    let allowed = |service: &&FleetService| workspace.services.contains(&service.name);
    let models = file.services.iter().filter(allowed);
    let models = models.filter_map(|service| service.model.as_ref());
    table([
        ("name", text(&workspace.name)),
        ("owner", text(OWNER)),
        ("class", text(class_name(workspace.class))),
        ("keys", texts([key_digest(workspace)])),
        ("budget", text(&workspace.name)),
        ("services", texts(&workspace.services)),
        ("models", texts(models)),
    ])
}

fn budget_entry(workspace: &FleetWorkspace) -> Value {
    let top_up = table([
        ("id", text("first")),
        ("tokens", Value::Integer(amount(workspace.budget))),
    ]);
    table([
        ("name", text(&workspace.name)),
        ("owner", text(OWNER)),
        ("workspace", text(&workspace.name)),
        ("top_up", Value::Array(vec![top_up])),
    ])
}

fn service_entry(service: &FleetService) -> Value {
    match service.kind {
        ServiceKind::Engine => table([
            ("name", text(&service.name)),
            ("owner", text(OWNER)),
            ("kind", text("engine")),
        ]),
        ServiceKind::Plain => table([
            ("name", text(&service.name)),
            ("owner", text(OWNER)),
            ("kind", text("plain")),
            ("repeatable", Value::Boolean(service.repeatable)),
            ("call_cost", Value::Integer(amount(service.call_cost))),
        ]),
    }
}

fn model_entry(service: &FleetService) -> Option<Value> {
    let model = service.model.as_ref()?;
    Some(table([
        ("name", text(model)),
        ("owner", text(OWNER)),
        ("service", text(&service.name)),
        ("output_limit", Value::Integer(OUTPUT_LIMIT)),
    ]))
}

fn key_digest(workspace: &FleetWorkspace) -> String {
    let digest = Sha256::digest(FleetFile::key_of(&workspace.name).as_bytes());
    let digits: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("sha256:{digits}")
}

fn class_name(class: EntryClass) -> &'static str {
    match class {
        EntryClass::Batch => "batch",
        EntryClass::Standard => "standard",
        EntryClass::Critical => "critical",
    }
}

fn amount(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}

fn text(value: impl ToString) -> Value {
    Value::String(value.to_string())
}

fn texts(values: impl IntoIterator<Item = impl ToString>) -> Value {
    Value::Array(values.into_iter().map(text).collect())
}

fn table(pairs: impl IntoIterator<Item = (&'static str, Value)>) -> Value {
    let pairs = pairs.into_iter();
    Value::Table(pairs.map(|(key, value)| (key.to_owned(), value)).collect())
}
