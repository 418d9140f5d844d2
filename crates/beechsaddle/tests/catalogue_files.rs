//! Tests of reading and checking the catalogue's files.

mod operator_common;

use beechsaddle::catalogue_files::{
    BaseFile, DeclaredCatalogue, read_catalogue, read_catalogue_texts, render_catalogue,
};
use beechsaddle_core::call::KeyDigest;
use beechsaddle_core::catalogue::{
    BudgetDeclaration, CatalogueEntry, EntryClass, EntryHeader, EntryLimits, ServiceEntry,
    ServiceKind, WorkspaceEntry,
};
use beechsaddle_core::prelude::*;
use quickcheck::quickcheck;

use operator_common::{declared, small};

fn findings(text: &str) -> Vec<String> {
    let texts = [("c.toml".to_string(), text.to_string())];
    let findings = read_catalogue_texts(texts).expect_err("findings");
    findings.to_string().lines().map(str::to_string).collect()
}

#[track_caller]
fn check_starts(text: &str, starts: &[&str]) {
    let lines = findings(text);
    assert_eq!(lines.len(), starts.len(), "{lines:#?}");
    for (line, start) in lines.iter().zip(starts) {
        assert!(
            line.starts_with(start),
            "{line}\nshould begin with\n{start}"
        );
    }
}

#[test]
fn read_small_catalogue_takes_defaults() {
    let catalogue = declared(&small("iva", r#"{ id = "jan", tokens = 1_000 }"#));
    assert_eq!((catalogue.entries.len(), catalogue.budgets.len()), (3, 1));
    let Some(CatalogueEntry::Service(service)) = catalogue.entries.values().nth(1) else {
        panic!("no service");
    };
    assert!(service.repeatable);
    assert_eq!((service.call_cost, service.head_timeout_ms), (0, 30_000));
}

#[test]
fn read_all_kinds_of_errors_reports_each_with_its_line() {
    let text = r#"[[workspace]]
name = "pekara"
owner = "iva"
class = "urgent"
keys = ["secret-key-in-the-clear"]
budget = "nowhere"
services = ["trznica"]
limits = { concurrency = 0, burst = 5 }

[[budget]]
name = "lonely"
owner = "iva"
workspace = "nobody"
top_up = [{ id = "jan", tokens = 0 }, { id = "feb", tokens = 1 }, { id = "feb", tokens = 1 }]

[[service]]
name = "trznica"
owner = "ana"
kind = "plain"
repeatable = "no"

[[service]]
name = "trznica"
owner = "ana"
kind = "plain"

[[model]]
name = "listing"
owner = "ana"
service = "trznica"

[[modle]]
name = "typo"
"#;
    check_starts(
        text,
        &[
            "c.toml:2: pekara names the budget nowhere, which is declared nowhere",
            "c.toml:4: `workspace.class` is \"urgent\"; \"batch\" or \"standard\"",
            "c.toml:5: `workspace.keys` holds something that is no digest of a key; `sha256:`",
            "c.toml:8: `workspace.limits.concurrency` is 0; an integer from 1",
            "c.toml:8: unknown key `workspace.limits.burst`; known here: concurrency,",
            "c.toml:11: the budget lonely names the workspace nobody, which is declared nowhere",
            "c.toml:14: `budget.top_up.id` feb is there already",
            "c.toml:14: `budget.top_up.tokens` is 0; an integer from 1",
            "c.toml:20: `service.repeatable` is a string; `true` or `false`",
            "c.toml:23: `service.name` is declared already at c.toml:17",
            "c.toml:28: listing names the service trznica, which has no engines",
            "c.toml:32: unknown key `modle`; known here: budget, model, service, workspace",
        ],
    );
    assert!(!findings(text).join("\n").contains("in-the-clear"));
}

// If two workspaces shared a key, a call with it would spend the budget of the one that was read
// last.
#[test]
fn read_key_of_two_workspaces_is_found() {
    let digest = format!("sha256:{}", "0f".repeat(32));
    let workspace = |name: &str| {
        format!(
            "[[workspace]]\nname = {name:?}\nowner = \"iva\"\nkeys = [{digest:?}, {digest:?}]\n"
        )
    };
    check_starts(
        &format!("{}{}", workspace("a"), workspace("b")),
        &[
            "c.toml:4: `workspace.keys` holds a key twice",
            "c.toml:6: b has a key that the workspace a has too",
            "c.toml:8: `workspace.keys` holds a key twice",
        ],
    );
}

// A workspace that names another workspace's budget could spend tokens that the other paid for.
#[test]
fn read_foreign_budget_is_found() {
    let text = r#"[[workspace]]
name = "a"
owner = "iva"
budget = "main"
[[workspace]]
name = "b"
owner = "iva"
budget = "main"
[[budget]]
name = "main"
owner = "iva"
workspace = "a"
"#;
    check_starts(text, &["c.toml:6: b names the budget main, which is a's"]);
}

// A workspace may have budgets besides its default, or no default.
#[test]
fn read_budgets_besides_the_default_are_valid() {
    let text = r#"[[workspace]]
name = "a"
owner = "iva"
budget = "main"
[[workspace]]
name = "b"
owner = "iva"
[[budget]]
name = "main"
owner = "iva"
workspace = "a"
[[budget]]
name = "spare"
owner = "iva"
workspace = "a"
[[budget]]
name = "other"
owner = "iva"
workspace = "b"
"#;
    let catalogue = declared(text);
    let defaults: Vec<Option<BudgetName>> = catalogue
        .entries
        .values()
        .map(|entry| match entry {
            CatalogueEntry::Workspace(entry) => entry.budget.clone(),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(defaults, [Some(BudgetName::new("main")), None]);
    assert_eq!(catalogue.budgets.len(), 3);
}

#[test]
fn read_invalid_default_budget_is_found() {
    let text = r#"[[workspace]]
name = "a"
owner = "iva"
budget = "ma in"
[[workspace]]
name = "b"
owner = "iva"
budgets = ["main"]
"#;
    check_starts(
        text,
        &[
            "c.toml:4: `workspace.budget` is \"ma in\"",
            "c.toml:8: unknown key `workspace.budgets`; known here: budget,",
        ],
    );
}

// A mistyped directory must not look like a catalogue from which everything was removed.
#[test]
fn read_directory_without_files_is_a_finding() {
    let directory = std::env::temp_dir().join(format!("beechsaddle-empty-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("directory");
    let findings = read_catalogue(&directory).expect_err("empty");
    assert!(findings.to_string().contains("holds no `*.toml` file"));
    let base = BaseFile {
        revision: 7,
        applied: [9, 11].into_iter().collect(),
    };
    base.store(&directory).expect("stored");
    assert_eq!(BaseFile::try_load(&directory), Ok(Some(base)));
    // The base file is not a file of the catalogue.
    assert!(read_catalogue(&directory).is_err());
    std::fs::remove_dir_all(&directory).expect("removed");
}

fn header(owner: u8, class: u8, limit: Option<u32>) -> EntryHeader {
    let classes = [
        EntryClass::Batch,
        EntryClass::Standard,
        EntryClass::Critical,
    ];
    EntryHeader {
        owner: OwnerName::new(format!("owner-{owner}")),
        class: classes[usize::from(class % 3)],
        limits: EntryLimits {
            concurrency: limit.map(|limit| limit.max(1)),
            requests_per_second: None,
            tokens_per_minute: limit.map(|limit| u64::from(limit).max(1)),
        },
    }
}

/// Owner, class, limit, and whether it is repeatable and has a top-up.
type RandomItem = (u8, u8, Option<u32>, (bool, bool));

fn catalogue_of(items: impl Iterator<Item = RandomItem>) -> DeclaredCatalogue {
    let mut catalogue = DeclaredCatalogue::default();
    for (number, (name, class, limit, flags)) in items.enumerate() {
        let budget = BudgetName::new(format!("b{number}"));
        let workspace = WorkspaceName::new(format!("w{number}"));
        let service = CatalogueEntry::Service(ServiceEntry {
            header: header(name, class, limit),
            name: ServiceName::new(format!("s{number}")),
            kind: ServiceKind::Plain,
            repeatable: flags.0,
            call_cost: u64::from(name),
            head_timeout_ms: u64::from(class) + 1,
        });
        let entry = CatalogueEntry::Workspace(WorkspaceEntry {
            header: header(class, name, None),
            name: workspace.clone(),
            keys: vec![KeyDigest([number as u8; 32])],
            budget: flags.0.then(|| budget.clone()),
            services: vec![ServiceName::new(format!("s{number}"))],
            models: Vec::new(),
        });
        let top_ups = flags.1.then(|| (TopUpId::new("t"), u64::from(name) + 1));
        let declaration = BudgetDeclaration {
            name: budget.clone(),
            owner: OwnerName::new("o"),
            workspace,
            top_ups: top_ups.into_iter().collect(),
        };
        catalogue.entries.insert(service.id(), service);
        catalogue.entries.insert(entry.id(), entry);
        catalogue.budgets.insert(budget, declaration);
    }
    catalogue
}

quickcheck! {
    // The output of `show` parses to the same catalogue.
    fn render_then_read_is_the_same(items: Vec<RandomItem>) -> bool {
        let catalogue = catalogue_of(items.into_iter().take(200));
        declared(&render_catalogue(&catalogue)) == catalogue
    }
}
