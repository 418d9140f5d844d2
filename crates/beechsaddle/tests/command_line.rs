//! Tests of the command line as a process, against a platform stand-in.

use std::path::{Path, PathBuf};
use std::process::Command;

use beechsaddle_core::members::{HostList, HostRecord, HostRole, HostState};
use beechsaddle_core::prelude::*;
use beechsaddle_lab::stand_in::PlatformServer;
use beechsaddle_lab::stand_in::platform::PlatformOptions;

/// The result of running the binary.
#[derive(Debug)]
struct CommandResult {
    code: i32,
    out: String,
    err: String,
}

fn run(args: &[&str]) -> CommandResult {
    let output = Command::new(env!("CARGO_BIN_EXE_beechsaddle"))
        .args(args)
        .output()
        .expect("the binary runs");
    CommandResult {
        code: output.status.code().expect("an exit status"),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// A temporary directory that is removed at the end of the test.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> Self {
        let name = format!("beechsaddle-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("directory");
        TestDirectory(path)
    }

    fn write(&self, file: &str, text: &str) -> String {
        let path = self.0.join(file);
        std::fs::write(&path, text).expect("file");
        path.display().to_string()
    }

    fn text(&self) -> &str {
        self.0.to_str().expect("path")
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn copy_example(name: &str, directory: &TestDirectory) {
    for file in ["services.toml", "workspaces.toml"] {
        let text = std::fs::read_to_string(examples().join(name).join(file)).expect("example");
        directory.write(file, &text);
    }
}

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

#[test]
fn check_five_errors_prints_all_five_with_lines() {
    let directory = TestDirectory::new("check");
    let file = directory.write(
        "router.toml",
        r#"[router]
host = "entry-1"
domain = "split-hala"
region = 7
call_address = "127.0.0.1"
peer_address = "0.0.0.0:7102"
admin_address = "127.0.0.1:7103"
[platform]
address = "127.0.0.1:7000"
time_out_ms = 5
[peers]
secret = "0123456789abcdef0123456789abcdef"
heartbeat_ms = 0
"#,
    );
    let result = run(&["check", &file]);
    assert_eq!(result.code, 3, "{result:?}");
    let lines: Vec<&str> = result.out.lines().collect();
    let positions = ["4: ", "5: ", "6: ", "10: ", "13: "];
    assert_eq!(lines.len(), positions.len(), "{lines:#?}");
    for (line, position) in lines.iter().zip(positions) {
        assert!(line.starts_with(&format!("{file}:{position}")), "{line}");
    }
    // The router runs the same check before it starts.
    let result = run(&["router", "--config", &file]);
    assert_eq!((result.code, result.err.lines().count()), (3, 5));
}

#[test]
fn check_examples_are_valid() {
    for region in ["jadran", "stmk"] {
        let files = std::fs::read_dir(examples().join("settings").join(region)).expect("examples");
        let files: Vec<String> = files
            .map(|file| file.expect("file").path().display().to_string())
            .collect();
        assert!(files.len() >= 7);
        let mut args = vec!["check"];
        args.extend(files.iter().map(String::as_str));
        let result = run(&args);
        assert_eq!(result.code, 0, "{result:?}");
        let catalogue = examples().join(format!("catalogue-{region}"));
        let result = run(&["catalogue", "check", catalogue.to_str().expect("path")]);
        assert_eq!(result.code, 0, "{result:?}");
    }
}

#[test]
fn help_names_every_exit_status() {
    let result = run(&["--help"]);
    assert_eq!(result.code, 0);
    for text in [
        "router",
        "check",
        "catalogue",
        "status",
        "statement",
        "7 outcome unknown",
    ] {
        assert!(result.out.replace('\n', " ").contains(text), "{text}");
    }
    assert_eq!(run(&["catalogue", "apply", "somewhere"]).code, 2);
}

// Two operators with separate directories edit the same workspace on the same base. The second gets
// a conflict, and succeeds after taking over the first one's files.
#[test]
fn catalogue_apply_two_operators_end_in_one_conflict() {
    let platform = PlatformServer::try_start(PlatformOptions::default()).expect("platform");
    let address = platform.address().to_string();
    let (ana, mato) = (TestDirectory::new("ana"), TestDirectory::new("mato"));
    copy_example("catalogue-jadran", &ana);
    let apply = |directory: &TestDirectory, author: &str| {
        let path = directory.text();
        run(&[
            "catalogue",
            "apply",
            path,
            "--platform",
            &address,
            "--author",
            author,
        ])
    };
    let first = apply(&ana, "ana");
    assert_eq!(first.code, 0, "{first:?}");
    assert!(first.out.contains("as revision 1"), "{first:?}");
    // Files without a base are refused, since they could remove entries of others.
    copy_example("catalogue-jadran", &mato);
    assert_eq!(apply(&mato, "mato").code, 3);
    let base = std::fs::read_to_string(ana.0.join(".beechsaddle-base")).expect("base");
    mato.write(".beechsaddle-base", &base);

    let edit = |directory: &TestDirectory, class: &str| {
        let path = directory.0.join("workspaces.toml");
        let text = std::fs::read_to_string(path).expect("file");
        directory.write("workspaces.toml", &text.replace("\"batch\"", class));
    };
    edit(&ana, "\"standard\"");
    edit(&mato, "\"critical\"");
    assert_eq!(apply(&ana, "ana").code, 0);
    let diff = run(&["catalogue", "diff", mato.text(), "--platform", &address]);
    assert_eq!(diff.code, 4, "{diff:?}");
    let second = apply(&mato, "mato");
    assert_eq!(second.code, 4, "{second:?}");
    let line = "conflict: workspace office (owner office) was changed by ana in revision 2; \
                your edit is based on revision 1";
    assert!(second.err.contains(line), "{second:?}");

    let other_text = std::fs::read_to_string(ana.0.join("workspaces.toml")).expect("file");
    mato.write("workspaces.toml", &other_text);
    let merged = apply(&mato, "mato");
    assert!(
        merged.out.contains("nothing to do at revision 2"),
        "{merged:?}"
    );
    let shown = run(&["catalogue", "show", "--platform", &address]);
    assert!(shown.out.contains("# revision 2"), "{shown:?}");
    assert!(shown.out.contains("name = \"office\""), "{shown:?}");
}

#[test]
fn statement_after_apply_shows_top_ups() {
    let platform = PlatformServer::try_start(PlatformOptions::default()).expect("platform");
    let address = platform.address().to_string();
    let directory = TestDirectory::new("statement");
    copy_example("catalogue-stmk", &directory);
    let applied = run(&[
        "catalogue",
        "apply",
        directory.text(),
        "--platform",
        &address,
    ]);
    assert_eq!(applied.code, 0, "{applied:?}");
    let text = run(&["statement", "payouts", "--platform", &address]);
    let line = "budget payouts-q4 owner=finance topped_up=5000000 settled=0 open=0 \
                written_off=0 free=5000000 bills=0";
    assert!(text.out.contains(line), "{text:?}");
    let json = run(&[
        "statement",
        "payouts",
        "--platform",
        &address,
        "--json",
        "--bills",
    ]);
    let value: serde_json::Value = serde_json::from_str(&json.out).expect("json");
    assert_eq!(value["budgets"][0]["free"], 5_000_000);
    assert_eq!(value["bills"], serde_json::json!([]));
    assert_eq!(
        run(&["statement", "nobody", "--platform", &address]).code,
        1
    );
}

// The host list contains a router that is not running. The apply is committed, and `--wait` reports
// where it is in effect and which router it could not reach.
#[test]
fn catalogue_apply_wait_names_unreached_router() {
    let platform = PlatformServer::try_start(PlatformOptions::default()).expect("platform");
    let address = platform.address().to_string();
    let domain = DomainName::new("graz-nord");
    let record = HostRecord {
        host: HostName::new("graz-nord-1"),
        domain: domain.clone(),
        epoch: 1,
        address: "127.0.0.1:1".to_string(),
        role: HostRole::Router {
            peer_address: "127.0.0.1:1".to_string(),
            admin_address: "127.0.0.1:1".to_string(),
        },
        state: HostState::Live,
    };
    let hosts = HostList {
        hosts: vec![record],
    };
    platform.set_hosts(&domain, hosts).expect("hosts");
    let directory = TestDirectory::new("wait");
    copy_example("catalogue-stmk", &directory);
    let path = directory.text();
    let wait = ["--wait", "--wait-seconds", "1"];
    let mut args = vec!["catalogue", "apply", path, "--platform", &address];
    args.extend(wait);
    let result = run(&args);
    assert_eq!(result.code, 6, "{result:?}");
    assert!(
        result
            .out
            .contains("revision 1 is in force at 0 of 1 routers"),
        "{result:?}"
    );
    assert!(
        result.out.contains("not reached: graz-nord-1"),
        "{result:?}"
    );
}

#[test]
fn catalogue_apply_platform_unreachable_fails_without_change() {
    let directory = TestDirectory::new("away");
    copy_example("catalogue-stmk", &directory);
    let result = run(&[
        "catalogue",
        "apply",
        directory.text(),
        "--platform",
        "127.0.0.1:1",
    ]);
    assert_eq!(result.code, 1, "{result:?}");
    assert!(
        result.err.contains("the platform does not answer"),
        "{result:?}"
    );
}
