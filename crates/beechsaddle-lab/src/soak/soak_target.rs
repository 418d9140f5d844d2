//! The `soak_target` module provides the targets of a soak, and the ways to them.

use std::time::Duration;

use beechsaddle_platform_stand_in::TargetStandIn;
use tokio::time::Instant;

use super::fault_proxy::{FaultProxy, PathFault};

/// Events of a stream, and the pause between two.
pub const EVENTS: u64 = 6;
const EVENT_GAP: Duration = Duration::from_millis(15);

/// What the body of a call holds that crashes each target which runs it.
pub const CRASH_MARK: &[u8] = b"crash";

/// How long a target is away after a crash.
const RESTART_SPAN: Duration = Duration::from_millis(400);

/// One target, and the way to it.
#[derive(Clone)]
pub struct SoakTarget {
    /// The target.
    pub stand_in: TargetStandIn,
    /// The way to it.
    pub path: FaultProxy,
    pub(super) service: &'static str,
    pub(super) zone: &'static str,
    /// When it was found crashed.
    crashed_at: Option<Instant>,
}

impl SoakTarget {
    /// Starts a target and the way to it.
    pub(super) async fn try_start(
        name: &str,
        service: &'static str,
        zone: &'static str,
    ) -> eyre::Result<Self> {
        let stand_in = TargetStandIn::try_start(name).await?;
        stand_in.set_response_delay(Duration::from_millis(5));
        stand_in.set_events(EVENTS, EVENT_GAP);
        stand_in.crash_on(CRASH_MARK);
        let path = FaultProxy::try_start(stand_in.address()).await?;
        tokio::spawn(end_path(stand_in.clone(), path.clone()));
        Ok(SoakTarget {
            stand_in,
            path,
            service,
            zone,
            crashed_at: None,
        })
    }

    /// Whether it crashed long enough ago for another one to come. It counts from the first time that this is asked.
    pub(super) fn is_gone(&mut self) -> bool {
        if !self.stand_in.has_crashed() {
            return false;
        }
        let crashed_at = *self.crashed_at.get_or_insert_with(Instant::now);
        crashed_at.elapsed() >= RESTART_SPAN
    }
}

/// Ends the path to a target as soon as it has crashed.
async fn end_path(stand_in: TargetStandIn, path: FaultProxy) {
    stand_in.crashed().await;
    path.set(PathFault::Refused);
}
