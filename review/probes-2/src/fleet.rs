//! Routers of a small deployment, each in a process of its own, and what the platform sees of them.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{CallRequest, READY_LINE, call};
use tokio::time::sleep;

/// The memory of a machine of the first sheet, in megabytes.
pub const MEMORY_MB: u64 = 110;

pub struct Router {
    child: Child,
    pub host: String,
    pub address: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

impl Router {
    /// Starts a router with the command and the settings of the deploy file, filled in for a machine of the
    /// first sheet.
    pub fn start(folder: &Path, store: SocketAddr, host: &str, domain: &str, extra: &str) -> Self {
        let [address, ready, peer, metrics] = [0; 4].map(|_| free_address());
        let settings = folder.join(format!("{host}.toml"));
        let text = format!(
            "[gateway]\nhost = \"{host}\"\ndomain = \"{domain}\"\ncall_address = \"{address}\"\n\
             ready_address = \"{ready}\"\npeer_address = \"{peer}\"\nmetrics_address = \"{metrics}\"\n\
             grace_s = 8\nmemory_mb = {MEMORY_MB}\ndescriptors = 4100\nlink_mbps = 1000\n{extra}\n\
             [store]\naddress = \"{store}\"\nsettle_ms = 3000\nin_force_ms = 2000\nleave_ms = 2000\n\n\
             [retries]\nratio = 0.2\nallowance = 54\nwindow_s = 10\n\n\
             [policy]\nshare_target_speeds = true\nplace_by_speed = true\n\n[log]\nlevel = \"info\"\n"
        );
        fs::write(&settings, text).expect("settings");
        let log = folder.join(format!("{host}.log"));
        Router {
            child: spawn(&settings, &log),
            host: host.to_owned(),
            address,
            ready,
            settings,
            log,
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a status").is_some()
    }

    /// Kills the process with SIGKILL, and starts it again, as the platform does.
    #[allow(dead_code)]
    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(&self.settings, &self.log);
    }

    /// Sends a signal by its name, such as `TERM` or `STOP`.
    #[allow(dead_code)]
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status();
        assert!(status.is_ok_and(|status| status.success()), "no signal");
    }

    /// Resident memory, in kilobytes; 0 if the process has ended.
    pub fn resident_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let text = line.and_then(|line| line.split_whitespace().nth(1));
        text.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub async fn is_ready(&self) -> bool {
        let request = CallRequest::new(READY_LINE, "ready", "");
        let asked = call(self.ready, &request);
        let reply = tokio::time::timeout(Duration::from_secs(1), asked).await;
        matches!(reply, Ok(Ok(reply)) if reply.status == 200)
    }

    pub async fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready().await {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }

    #[allow(dead_code)]
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    Command::new("target/release/beechsaddle")
        .args(["router", "--config"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(File::options().create(true).append(true).open(log).expect("a log"))
        .stderr(Stdio::null())
        .spawn()
        .expect("a router")
}

/// What a script writes down, in `record.txt` of its folder.
pub struct Record {
    path: PathBuf,
    lines: std::sync::Mutex<Vec<String>>,
    started: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        Record {
            path: folder.join("record.txt"),
            lines: std::sync::Mutex::default(),
            started: Instant::now(),
        }
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:9.3} {}", line.as_ref());
        self.lines.lock().expect("lines").push(line);
    }

    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.add(line);
    }

    pub fn write(&self) {
        let text = self.lines.lock().expect("lines").join("\n") + "\n";
        let _ = fs::write(&self.path, text);
    }
}
