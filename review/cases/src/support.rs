//! Routers as separate processes, the record of a case, and the verdict.

use std::fs;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{CallRequest, READY_LINE, call};
use tokio::time::sleep;

pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// The key of the tenant in all cases.
pub const KEY: &str = "key-of-acme";

/// What was sent, answered and run, in the order of time.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    path: PathBuf,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        Record {
            started: Instant::now(),
            lines: Arc::default(),
            path: folder.join("record.txt"),
        }
    }

    pub fn add(&self, line: impl AsRef<str>) {
        self.add_at(Instant::now(), line);
    }

    pub fn add_at(&self, at: Instant, line: impl AsRef<str>) {
        let ms = at.saturating_duration_since(self.started).as_millis();
        let line = format!("{ms:>7} ms  {}", line.as_ref());
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line);
    }

    pub fn write(&self) -> io::Result<()> {
        let mut lines = self
            .lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        lines.sort();
        let mut file = fs::File::create(&self.path)?;
        for line in lines {
            writeln!(file, "{line}")?;
        }
        Ok(())
    }
}

/// A router's process, started with the command of the deploy file. Dropping it kills the process.
pub struct Router {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    pub address: SocketAddr,
    ready: SocketAddr,
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new("target/release/beechsaddle")
        .arg("router")
        .arg("--config")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log)
        .spawn()
}

impl Router {
    /// Starts a router with the settings that `deploy/router.toml` gives on the first site.
    pub fn start(folder: &Path, store: SocketAddr, host: &str, zone: &str) -> io::Result<Self> {
        let [address, ready, peer, metrics] = [
            free_address()?,
            free_address()?,
            free_address()?,
            free_address()?,
        ];
        let settings = folder.join(format!("{host}.toml"));
        let log = folder.join(format!("{host}.log"));
        let text = format!(
            "[gateway]\nhost = \"{host}\"\ndomain = \"{zone}\"\ncall_address = \"{address}\"\n\
             ready_address = \"{ready}\"\npeer_address = \"{peer}\"\n\
             metrics_address = \"{metrics}\"\ngrace_s = 8\nmemory_mb = 110\nlink_mbps = 1000.0\n\n\
             [store]\naddress = \"{store}\"\nsettle_ms = 3000\nin_force_ms = 2000\n\
             leave_ms = 2000\n\n[retries]\nratio = 0.2\nallowance = 54\nwindow_s = 10\n\n\
             [policy]\nshare_target_speeds = true\nplace_by_speed = true\n\n\
             [log]\nlevel = \"info\"\n"
        );
        fs::write(&settings, text)?;
        Ok(Router {
            child: spawn(&settings, &log)?,
            settings,
            log,
            address,
            ready,
        })
    }

    pub async fn wait_ready(&self) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let request = CallRequest::new(READY_LINE, "ready", KEY);
            if call(self.ready, &request)
                .await
                .is_ok_and(|reply| reply.status == 200)
            {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err("a router is not ready".into())
    }

    /// Ends the process as SIGKILL does.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Starts the process again after it was killed.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    /// Returns the log lines that contain all of the words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text.lines();
        let lines = lines.filter(|line| words.iter().all(|word| line.contains(word)));
        lines.map(str::to_owned).collect()
    }

    /// Waits for a number of log lines that contain all of the words.
    pub async fn wait_log(&self, words: &[&str], count: usize) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.log_lines(words).len() >= count {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(format!("no log line with {words:?}").into())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
