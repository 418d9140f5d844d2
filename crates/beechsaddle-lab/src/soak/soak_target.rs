//! The `soak_target` module provides the targets of a soak with their proxies.

use std::time::Duration;

use beechsaddle_platform_stand_in::TargetStandIn;
use tokio::time::Instant;

use super::fault_proxy::{FaultProxy, PathFault};

/// Number of events of a stream; `EVENT_GAP` is the time between two.
pub const EVENTS: u64 = 6;
pub const EVENT_GAP: Duration = Duration::from_millis(15);

/// The time between two events if targets fall silent, long enough that silences often hit streams
/// in the middle.
pub const LONG_EVENT_GAP: Duration = Duration::from_millis(60);

/// Bytes in the body of a call that crash every target which runs it.
pub const CRASH_MARK: &[u8] = b"crash";

/// The time from a crash of a target until it is replaced.
const RESTART_DELAY: Duration = Duration::from_millis(400);

/// A target with the proxy of its connections.
#[derive(Clone)]
pub struct SoakTarget {
    /// The target server.
    pub stand_in: TargetStandIn,
    /// Proxy of the connections to the target.
    pub path: FaultProxy,
    pub(super) service: &'static str,
    pub(super) zone: &'static str,
    /// Whether its responses say that it leaves.
    pub(super) is_leaving: bool,
    /// The time at which the crash was first detected.
    crashed_at: Option<Instant>,
}

impl SoakTarget {
    /// Starts a target and its proxy.
    pub(super) async fn try_start(
        name: &str,
        service: &'static str,
        zone: &'static str,
        version: &str,
        event_gap: Duration,
    ) -> eyre::Result<Self> {
        let stand_in = TargetStandIn::try_start(name).await?;
        stand_in.set_version(version);
        stand_in.set_response_delay(Duration::from_millis(5));
        stand_in.set_events(EVENTS, event_gap);
        stand_in.crash_on(CRASH_MARK);
        let path = FaultProxy::try_start(stand_in.address()).await?;
        tokio::spawn(refuse_after_crash(stand_in.clone(), path.clone()));
        Ok(SoakTarget {
            stand_in,
            path,
            service,
            zone,
            is_leaving: false,
            crashed_at: None,
        })
    }

    /// Makes all responses say that the target leaves.
    pub(super) fn leave(&mut self) {
        self.stand_in.set_leaving(true);
        self.is_leaving = true;
    }

    /// Whether [`RESTART_DELAY`] has passed since the crash. The delay starts with the first call
    /// of this function after the crash.
    pub(super) fn is_replaceable(&mut self) -> bool {
        if !self.stand_in.has_crashed() {
            return false;
        }
        let crashed_at = *self.crashed_at.get_or_insert_with(Instant::now);
        crashed_at.elapsed() >= RESTART_DELAY
    }
}

/// Refuses connections to a target as soon as it has crashed.
async fn refuse_after_crash(stand_in: TargetStandIn, path: FaultProxy) {
    stand_in.crashed().await;
    path.set(PathFault::Refused);
}
