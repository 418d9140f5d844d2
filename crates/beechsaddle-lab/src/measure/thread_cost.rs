//! The `thread_cost` module provides the processor time of each thread of a process.

use std::collections::BTreeMap;
use std::fs;

/// Returns the processor time of a process by thread name, in seconds; threads of the same name are
/// summed up.
pub fn read_thread_cpu(pid: u32) -> BTreeMap<String, f64> {
    let mut costs = BTreeMap::new();
    let Ok(tasks) = fs::read_dir(format!("/proc/{pid}/task")) else {
        return costs;
    };
    for task in tasks.flatten() {
        let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        let schedule = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let Some(nanos) = schedule.split_whitespace().next() else {
            continue;
        };
        let nanos: f64 = nanos.parse().unwrap_or(0.0);
        *costs.entry(name.trim().to_owned()).or_default() += nanos / 1e9;
    }
    costs
}
