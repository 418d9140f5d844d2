//! The `lab_process` module provides processes that are started, frozen and killed.

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

/// How often an ending process is looked at.
const EXIT_PAUSE: Duration = Duration::from_millis(5);

/// A process of the lab's own program; killed when this is dropped.
#[derive(Debug)]
pub struct LabProcess {
    child: Child,
}

impl LabProcess {
    /// Starts a stand-in and waits until it says where it listens.
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
        let output = output.ok_or_else(|| eyre!("a stand-in has no output"))?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let address = line
            .trim()
            .strip_prefix("listening=")
            .ok_or_else(|| eyre!("a stand-in did not say where it listens: {line:?}"))?;
        Ok((process, address.parse()?))
    }

    /// Starts a router whose output goes to a file.
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

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills it, with everything that it knows.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Stops it in the middle of what it does; its connections stay open.
    pub fn freeze(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets it go on.
    pub fn thaw(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks it to shut down gracefully.
    pub fn terminate(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Has it read its settings again.
    pub fn reload(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGHUP)
    }

    /// Waits until it has ended; `None` when it has not after `patience`.
    pub fn wait(&mut self, patience: Duration) -> eyre::Result<Option<ExitStatus>> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if started.elapsed() >= patience {
                return Ok(None);
            }
            std::thread::sleep(EXIT_PAUSE);
        }
    }

    fn signal(&self, signal: Signal) -> eyre::Result<()> {
        // The process is a child that was not waited for, so that its id is still its own.
        let id = i32::try_from(self.child.id())?;
        kill(Pid::from_raw(id), signal).wrap_err_with(|| format!("cannot send {signal}"))
    }
}

impl Drop for LabProcess {
    fn drop(&mut self) {
        // A frozen process is killed as well.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
