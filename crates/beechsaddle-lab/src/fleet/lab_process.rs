//! The `lab_process` module provides child processes that can be signalled, frozen and killed.

use std::ffi::OsStr;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use eyre::{WrapErr, eyre};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// The time between two checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A child process that runs the lab's binary and is killed on drop.
#[derive(Debug)]
pub struct LabProcess {
    child: Child,
}

impl LabProcess {
    /// Starts a stand-in and waits until it prints its address.
    pub fn try_start_stand_in(
        program: &Path,
        arguments: impl IntoIterator<Item = impl AsRef<OsStr>>,
    ) -> eyre::Result<(Self, SocketAddr)> {
        let mut command = Command::new(program);
        command.arg("stand-in").args(arguments).arg("--with-parent");
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", program.display()))?;
        let output = child.stdout.take();
        let process = LabProcess { child };
        let output = output.ok_or_else(|| eyre!("a stand-in has no standard output"))?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let address = line
            .trim()
            .strip_prefix("listening=")
            .ok_or_else(|| eyre!("a stand-in did not print its address: {line:?}"))?;
        Ok((process, address.parse()?))
    }

    /// Starts a router whose output is appended to a log file.
    pub fn try_start_router(program: &Path, settings: &Path, log: &Path) -> eyre::Result<Self> {
        let output = File::options().create(true).append(true).open(log)?;
        let errors = output.try_clone()?;
        let child = Command::new(program)
            .args(["router", "--with-parent", "--config"])
            .arg(settings)
            .stdin(Stdio::piped())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", program.display()))?;
        Ok(LabProcess { child })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Suspends the process; its connections stay open.
    pub fn freeze(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes the process.
    pub fn thaw(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Requests a graceful shutdown.
    pub fn terminate(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Makes the process reload its settings.
    pub fn reload(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGHUP)
    }

    /// Waits for the exit; returns `None` if the process still runs after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> eyre::Result<Option<ExitStatus>> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if started.elapsed() >= timeout {
                return Ok(None);
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    fn signal(&self, signal: Signal) -> eyre::Result<()> {
        // The child has not been reaped, so its id cannot have been reused.
        let id = i32::try_from(self.child.id())?;
        kill(Pid::from_raw(id), signal).wrap_err_with(|| format!("cannot send {signal}"))
    }
}

impl Drop for LabProcess {
    fn drop(&mut self) {
        // SIGKILL also ends a frozen process.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
