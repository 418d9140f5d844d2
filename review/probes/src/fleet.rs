//! Routers as separate processes, with the settings of the template of the deploy file.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{CallRequest, READY_LINE, call};
use tokio::time::{sleep, timeout};

/// A router's process; dropping it kills the process.
pub struct Router {
    child: Child,
    pub host: String,
    pub address: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
}

pub struct Place<'a> {
    pub root: &'a Path,
    pub folder: &'a Path,
    pub store: SocketAddr,
    pub extra: &'a str,
}

impl Router {
    /// Starts a router on free ports; once more on others if one of them was taken meanwhile.
    pub fn start(place: &Place<'_>, host: &str, zone: &str) -> Router {
        loop {
            let mut router = Router::start_once(place, host, zone);
            std::thread::sleep(Duration::from_millis(120));
            if !router.has_ended() {
                return router;
            }
        }
    }

    fn start_once(place: &Place<'_>, host: &str, zone: &str) -> Router {
        let [address, ready, peer, metrics] = free_addresses();
        let store = place.store;
        let text = format!(
            "[gateway]\nhost = \"{host}\"\ndomain = \"{zone}\"\ncall_address = \"{address}\"\n\
             ready_address = \"{ready}\"\npeer_address = \"{peer}\"\nmetrics_address = \"{metrics}\"\n\
             grace_s = 8\nmemory_mb = 110\nlink_mbps = 1000.0\n\n\
             [store]\naddress = \"{store}\"\nsettle_ms = 3000\nin_force_ms = 2000\nleave_ms = 2000\n{}\n\n\
             [retries]\nratio = 0.2\nallowance = 54\nwindow_s = 10\n\n\
             [policy]\nshare_target_speeds = true\nplace_by_speed = true\n\n[log]\nlevel = \"info\"\n",
            place.extra
        );
        let settings = place.folder.join(format!("{host}.toml"));
        fs::write(&settings, text).expect("settings");
        let log = place.folder.join(format!("{host}.log"));
        let program = place.root.join("target/release/beechsaddle");
        Router {
            child: spawn(&program, &settings, &log),
            host: host.to_owned(),
            address,
            ready,
            settings,
            log,
            program,
        }
    }

    /// Kills the process and starts another one with the same settings.
    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(&self.program, &self.settings, &self.log);
    }

    fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub async fn is_ready(&self) -> bool {
        let request = CallRequest::new(READY_LINE, "ready", "none");
        let asked = timeout(Duration::from_secs(1), call(self.ready, &request)).await;
        matches!(asked, Ok(Ok(reply)) if reply.status == 200)
    }

    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text
            .lines()
            .filter(|line| words.iter().all(|word| line.contains(word)));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log");
    let child = Command::new(program)
        .args(["router", "--config"])
        .arg(settings)
        .stdout(log)
        .spawn()
        .expect("the program of the deploy file; build it first");
    note_process(settings, child.id());
    child
}

/// Notes a process for the script, which ends those that are left.
fn note_process(settings: &Path, id: u32) {
    let notes = settings.with_file_name("processes");
    let notes = File::options().create(true).append(true).open(notes);
    let _ = notes.and_then(|mut notes| writeln!(notes, "{id}"));
}

/// Waits until all routers are ready; `false` if they are not in time.
pub async fn all_ready(routers: &[Router]) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    for router in routers {
        while !router.is_ready().await {
            if Instant::now() > until {
                return false;
            }
            sleep(Duration::from_millis(30)).await;
        }
    }
    true
}

fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let listeners: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").expect("a port"));
    listeners.map(|listener| listener.local_addr().expect("an address"))
}
