//! Tests of reading and checking a router's settings file.

use beechsaddle::settings::RouterSettings;

const GOOD: &str = r#"
[router]
host = "entry-1"
domain = "split-hala"
region = "jadran"
call_address = "127.0.0.1:7101"
peer_address = "127.0.0.1:7102"
admin_address = "127.0.0.1:7103"

[platform]
address = "127.0.0.1:7000"

[peers]
secret = "0123456789abcdef0123456789abcdef"
"#;

fn lines_of(text: impl AsRef<str>) -> Vec<String> {
    let findings = RouterSettings::try_parse("router.toml", text).expect_err("findings");
    findings.to_string().lines().map(str::to_string).collect()
}

#[test]
fn try_parse_minimal_takes_defaults() {
    let settings = RouterSettings::try_parse("router.toml", GOOD).expect("settings");
    assert_eq!(settings.platform.timeout_ms, 2_000);
    assert_eq!(settings.peers.heartbeat_ms, 1_000);
    assert_eq!(settings.peers.down_after_ms, 2_500);
    assert_eq!(settings.budgets, Default::default());
    assert_eq!(settings.limits, Default::default());
}

#[test]
fn try_parse_five_errors_reports_all_with_lines() {
    let text = r#"[router]
host = "entry 1"
domain = "split-hala"
region = "jadran"
call_address = "localhost:7101"
peer_address = "127.0.0.1:7102"
admin_address = "127.0.0.1:7102"

[platform]
adress = "127.0.0.1:7000"
address = "127.0.0.1:7000"
timeout_ms = "2s"

[peers]
secret = "0123456789abcdef0123456789abcdef"
"#;
    let lines = lines_of(text);
    let starts = [
        "router.toml:2: `router.host` is \"entry 1\"; a name",
        "router.toml:5: `router.call_address` is \"localhost:7101\"; an IP number",
        "router.toml:7: `router.admin_address` is 127.0.0.1:7102 as is `peer_address`",
        "router.toml:10: unknown key `platform.adress`; known here: address, timeout_ms",
        "router.toml:12: `platform.timeout_ms` is a string; an integer from 50 to 60000",
    ];
    assert_eq!(lines.len(), starts.len(), "{lines:#?}");
    for (line, start) in lines.iter().zip(starts) {
        assert!(line.starts_with(start), "{line}");
    }
}

#[test]
fn try_parse_syntax_error_reports_later_errors_too() {
    let text = format!("{GOOD}bridges = = 3\nwatchers = 0\n");
    let lines = lines_of(text);
    assert!(
        lines.iter().any(|line| line.contains("not valid TOML")),
        "{lines:#?}"
    );
    assert!(
        lines
            .iter()
            .any(|line| line.contains("`peers.watchers` is 0")),
        "{lines:#?}"
    );
}

#[test]
fn try_parse_missing_tables_names_each() {
    let lines = lines_of("");
    assert_eq!(lines.len(), 3, "{lines:#?}");
    assert!(lines[0].starts_with("router.toml: the table `[peers]` is missing"));
}

#[test]
fn try_parse_duplicate_seed_is_found() {
    let seed = "[[peers.seed]]\nhost = \"entry-2\"\ndomain = \"split-hala\"\n\
                address = \"127.0.0.1:7202\"\n";
    let lines = lines_of(format!("{GOOD}{seed}{seed}"));
    assert_eq!(lines.len(), 2, "{lines:#?}");
}

#[test]
fn try_parse_short_secret_is_found_and_never_printed() {
    let lines = lines_of(GOOD.replace("0123456789abcdef0123456789abcdef", "hunter2hunter2"));
    assert_eq!(lines.len(), 1, "{lines:#?}");
    assert!(!lines[0].contains("hunter2"));
    let settings = RouterSettings::try_parse("router.toml", GOOD).expect("settings");
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

#[test]
fn try_load_absent_file_is_a_finding() {
    let findings = RouterSettings::try_load("no/such/router.toml").expect_err("absent");
    assert!(
        findings
            .to_string()
            .starts_with("no/such/router.toml: cannot be read")
    );
}
