//! The `boot_clock` module provides the clock of the machine's boot.

use beechsaddle_core::gateway::BootMoment;
use nix::time::{ClockId, clock_gettime};

/// Where the system tells which boot this is.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// The moment now. The boot is empty where the system does not tell it, and nothing follows from such
/// a moment.
pub(super) fn boot_moment() -> BootMoment {
    let boot = std::fs::read_to_string(BOOT_ID_PATH).unwrap_or_default();
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => BootMoment {
            boot: boot.trim().to_owned(),
            ms: time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000,
        },
        Err(_) => BootMoment {
            boot: String::new(),
            ms: 0,
        },
    }
}
