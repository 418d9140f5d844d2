//! The `process_cost` module provides the resource usage of a process as reported by the kernel.

use std::fs;

/// Clock ticks per second in `/proc/<pid>/stat`, 100 on all common Linux architectures.
const TICKS_PER_SECOND: f64 = 100.0;

/// Field indexes in `/proc/<pid>/stat`, counted from the state, which follows the name in
/// parentheses.
const UTIME_FIELD: usize = 11;
const STIME_FIELD: usize = 12;

/// The processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessCost {
    /// User and system processor time in seconds.
    pub cpu_s: f64,
    /// Resident memory in kibibytes.
    pub rss_kib: u64,
}

impl ProcessCost {
    /// Reads the usage of a process; `None` if it has ended.
    pub fn read(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        Some(ProcessCost {
            cpu_s: read_cpu(&stat)?,
            rss_kib: read_rss(&status)?,
        })
    }

    /// Reads the usage of the current process.
    pub fn read_own() -> Option<Self> {
        ProcessCost::read(std::process::id())
    }

    /// Returns the processor time used since an earlier reading, in seconds.
    pub fn cpu_since(&self, earlier: ProcessCost) -> f64 {
        self.cpu_s - earlier.cpu_s
    }
}

// The name may contain blanks and parentheses, so fields are counted from the last parenthesis.
fn read_cpu(stat: &str) -> Option<f64> {
    let (_, rest) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: f64 = fields.get(UTIME_FIELD)?.parse().ok()?;
    let system: f64 = fields.get(STIME_FIELD)?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

fn read_rss(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
