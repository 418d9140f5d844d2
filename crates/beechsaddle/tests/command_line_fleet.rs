//! Tests of the command line against running routers.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use beechsaddle_core::members::{HostList, HostRecord, HostRole, HostState};
use beechsaddle_core::prelude::*;
use beechsaddle_lab::stand_in::PlatformServer;
use beechsaddle_lab::stand_in::platform::PlatformOptions;

const BINARY: &str = env!("CARGO_BIN_EXE_beechsaddle");

/// A router process that is killed at the end of the test.
struct RouterProcess {
    child: Child,
    admin: String,
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns distinct ports that were free when checked: all are bound at the same time.
fn free_ports(count: usize) -> Vec<u16> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("a port");
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
    let ports = listeners.iter().map(|listener| listener.local_addr());
    ports
        .map(|address| address.expect("address").port())
        .collect()
}

fn record(number: usize, ports: &[u16]) -> HostRecord {
    HostRecord {
        host: HostName::new(format!("graz-nord-{number}")),
        domain: DomainName::new("graz-nord"),
        epoch: 1,
        address: format!("127.0.0.1:{}", ports[0]),
        role: HostRole::Router {
            peer_address: format!("127.0.0.1:{}", ports[1]),
            admin_address: format!("127.0.0.1:{}", ports[2]),
        },
        state: HostState::Live,
    }
}

fn start(
    directory: &std::path::Path,
    number: usize,
    ports: &[u16],
    platform: &str,
) -> RouterProcess {
    let settings = format!(
        "[router]\nhost = \"graz-nord-{number}\"\ndomain = \"graz-nord\"\nregion = \"stmk\"\n\
         call_address = \"127.0.0.1:{}\"\npeer_address = \"127.0.0.1:{}\"\n\
         admin_address = \"127.0.0.1:{}\"\n[platform]\naddress = \"{platform}\"\n\
         [peers]\nsecret = \"0123456789abcdef0123456789abcdef\"\n[log]\nlevel = \"error\"\n",
        ports[0], ports[1], ports[2]
    );
    let file = directory.join(format!("router-{number}.conf"));
    std::fs::write(&file, settings).expect("settings");
    let child = Command::new(BINARY)
        .args(["router", "--config"])
        .arg(&file)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("a router");
    RouterProcess {
        child,
        admin: format!("127.0.0.1:{}", ports[2]),
    }
}

fn run(args: &[&str]) -> (i32, String) {
    let output = Command::new(BINARY).args(args).output().expect("runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    (output.status.code().expect("status"), text)
}

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/catalogue-stmk");
    std::fs::read_to_string(path.join(name)).expect("example")
}

// An operator applies a catalogue and a change to a fleet of three routers, and waits until it is
// in effect everywhere. After one router is killed, the next wait names it, and the change is in
// effect at the other two, regardless of which routers watch the platform.
#[test]
fn apply_wait_reports_where_a_change_is_effective() {
    let platform = PlatformServer::try_start(PlatformOptions::default()).expect("platform");
    let address = platform.address().to_string();
    let directory = std::env::temp_dir().join(format!("beechsaddle-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("directory");
    let ports = free_ports(9);
    let hosts = ports.chunks(3).enumerate();
    let hosts = hosts.map(|(number, ports)| record(number, ports)).collect();
    let domain = DomainName::new("graz-nord");
    platform
        .set_hosts(&domain, HostList { hosts })
        .expect("hosts");
    for file in ["services.toml", "workspaces.toml"] {
        std::fs::write(directory.join(file), example(file)).expect("file");
    }
    let chunks = ports.chunks(3).enumerate();
    let mut routers: Vec<RouterProcess> = chunks
        .map(|(number, ports)| start(&directory, number, ports, &address))
        .collect();
    let path = directory.to_str().expect("path");
    let apply = |seconds: &str| {
        let args = ["catalogue", "apply", path, "--platform", &address, "--wait"];
        let mut args = args.to_vec();
        args.extend(["--wait-seconds", seconds]);
        let started = Instant::now();
        let (code, text) = run(&args);
        (code, text, started.elapsed())
    };
    let (code, text, _) = apply("20");
    assert_eq!(code, 0, "{text}");
    assert!(
        text.contains("revision 1 is in force at 3 of 3 routers"),
        "{text}"
    );

    let changed =
        example("services.toml").replace("head_timeout_ms = 5000", "head_timeout_ms = 4000");
    std::fs::write(directory.join("services.toml"), &changed).expect("file");
    let (code, text, span) = apply("20");
    assert_eq!(code, 0, "{text}");
    assert!(span < Duration::from_secs(12), "{span:?}");
    let (code, text) = run(&["status", &routers[0].admin]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("catalogue_revision=2"), "{text}");

    routers.remove(0);
    std::fs::write(directory.join("services.toml"), example("services.toml")).expect("file");
    let (code, text, span) = apply("2");
    assert_eq!(code, 6, "{text}");
    assert!(
        text.contains("revision 3 is in force at 2 of 3 routers"),
        "{text}"
    );
    assert!(text.contains("not reached: graz-nord-0"), "{text}");
    assert!(span < Duration::from_secs(12), "{span:?}");
    std::fs::remove_dir_all(&directory).expect("removed");
}
