//! Tests of the settings page against the settings that are read.

use beechsaddle::settings::{MetricSettings, RouterSettings};

/// Returns the complete settings file in `docs/SETTINGS.md`.
fn documented_file() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/SETTINGS.md");
    let page = std::fs::read_to_string(path).expect("the page");
    let (_, rest) = page.split_once("```toml\n").expect("a file");
    let (file, _) = rest.split_once("```").expect("its end");
    file.to_string()
}

#[test]
fn documented_file_states_the_defaults() {
    let settings = RouterSettings::try_parse("SETTINGS.md", documented_file()).expect("settings");
    assert_eq!(settings.budgets, Default::default());
    assert_eq!(settings.limits, Default::default());
    assert_eq!(settings.routing, Default::default());
    assert_eq!(settings.log, Default::default());
    assert_eq!(settings.metrics.prefix, MetricSettings::default().prefix);
    let text = documented_file();
    let required = [
        "heartbeat_ms",
        "down_after_ms",
        "bridges",
        "watchers",
        "connect_timeout_ms",
    ];
    let short: Vec<&str> = text
        .lines()
        .filter(|line| !line.starts_with("timeout_ms"))
        .filter(|line| !required.iter().any(|key| line.starts_with(key)))
        .collect();
    let short = RouterSettings::try_parse("short", short.join("\n")).expect("settings");
    assert_eq!(short.peers, settings.peers);
    assert_eq!(short.platform, settings.platform);
}

// Every key that is read is documented: an unknown key in each table makes the check list all known
// keys.
#[test]
fn documented_file_names_every_key() {
    let text = documented_file();
    let tables = [
        "router", "platform", "peers", "budgets", "limits", "routing", "log", "metrics",
    ];
    let probed = tables.iter().fold(text.clone(), |text, table| {
        text.replacen(
            &format!("[{table}]\n"),
            &format!("[{table}]\nprobe = 1\n"),
            1,
        )
    });
    let findings = RouterSettings::try_parse("SETTINGS.md", probed).expect_err("unknown keys");
    let findings = findings.to_string();
    assert_eq!(findings.lines().count(), tables.len(), "{findings}");
    for line in findings.lines() {
        let (_, known) = line.split_once("known here: ").expect("known keys");
        for key in known.split(", ") {
            let named = text.contains(&format!("\n{key} =")) || text.contains(&format!(".{key}]]"));
            assert!(named, "{key}");
        }
    }
}
