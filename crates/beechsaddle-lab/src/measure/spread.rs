//! The `spread` module provides the experiment on the time until a change is in effect at every
//! router.

use std::time::{Duration, Instant};

use beechsaddle_core::members::HostState;
use beechsaddle_core::status::RouterStatus;
use eyre::eyre;
use tokio::time::sleep;

use super::SlopeFit;
use super::run_async::run_async;
use super::small_fleet::FleetSize;
use crate::fleet::{FleetCaller, LabFleet};
use crate::key_values::KeyValues;

/// The sizes of the fleets: routers in each of two domains.
const ROUTERS: [u32; 4] = [1, 2, 4, 6];

/// Number of changes of each kind per fleet.
const ROUNDS: u32 = 5;

/// The polling interval, which is also the resolution of the measured times.
const PAUSE: Duration = Duration::from_millis(10);

/// The time after which a change that is not in effect fails the experiment.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(15);

/// Applies edits and announces leaves in fleets of several sizes, and polls all routers until the
/// change is in effect at each.
pub fn run(_seed: u64) -> Vec<String> {
    run_async(measure())
}

async fn measure() -> eyre::Result<Vec<KeyValues>> {
    let mut lines = Vec::new();
    let mut edits = Vec::new();
    let mut leaves = Vec::new();
    for routers in ROUTERS {
        let (edit, leave) = measure_fleet(routers).await?;
        let count = f64::from(routers * 2);
        edits.push((count, edit.longest));
        leaves.push((count, leave.longest));
        lines.push(edit.line("edit", count));
        lines.push(leave.line("leave", count));
    }
    for (what, points) in [("edit_ms", edits), ("leave_ms", leaves)] {
        if let Some(fit) = SlopeFit::of(&points) {
            lines.push(fit.pairs(what, "router"));
        }
    }
    Ok(lines)
}

async fn measure_fleet(routers: u32) -> eyre::Result<(PropagationTimes, PropagationTimes)> {
    let size = FleetSize {
        domains: 2,
        routers,
        engines: ROUNDS + 1,
        ..FleetSize::default()
    };
    let deployment = size.deployment();
    let mut fleet = deployment.start().await?;
    let catalogue = deployment.plan(std::env::current_exe()?).catalogue;
    let mut edits = PropagationTimes::default();
    let mut leaves = PropagationTimes::default();
    for round in 0..ROUNDS {
        let before = lowest_revision(&fleet).await?;
        let edit = format!("{catalogue}\n{}", extra_workspace(round));
        fleet.apply_catalogue(&edit).await?;
        edits
            .wait(&fleet, |status| status.catalogue_revision > before)
            .await?;
        // A leave cannot be undone, so each round uses another target.
        let target = format!("engines-{}", round + 1);
        fleet.set_target_state(&target, HostState::Leaving).await?;
        leaves
            .wait(&fleet, |status| is_leaving(status, &target))
            .await?;
    }
    Ok((edits, leaves))
}

/// The times until changes were in effect, in milliseconds.
#[derive(Clone, Debug, Default)]
struct PropagationTimes {
    all: Vec<f64>,
    longest: f64,
}

impl PropagationTimes {
    // Routers are polled one after another, so that a measured time is never too short, and too
    // long by at most one pause and one polling round.
    async fn wait(
        &mut self,
        fleet: &LabFleet,
        is_in_effect: impl Fn(&RouterStatus) -> bool,
    ) -> eyre::Result<()> {
        let start = Instant::now();
        let caller = FleetCaller::new();
        let mut waiting: Vec<String> = admin_addresses(fleet);
        while !waiting.is_empty() {
            eyre::ensure!(
                start.elapsed() < CHANGE_TIMEOUT,
                "change not in effect at {} routers within {CHANGE_TIMEOUT:?}",
                waiting.len()
            );
            let mut left = Vec::new();
            for address in waiting {
                let status: RouterStatus = caller.get(&address, "/admin/status").await?;
                if is_in_effect(&status) {
                    self.record(start.elapsed());
                } else {
                    left.push(address);
                }
            }
            waiting = left;
            sleep(PAUSE).await;
        }
        Ok(())
    }

    fn record(&mut self, time: Duration) {
        let millis = time.as_secs_f64() * 1_000.0;
        self.all.push(millis);
        self.longest = self.longest.max(millis);
    }

    fn line(&self, change: &str, routers: f64) -> KeyValues {
        let mean = self.all.iter().sum::<f64>() / self.all.len().max(1) as f64;
        KeyValues::new()
            .with("change", change)
            .with("routers", routers)
            .with("samples", self.all.len())
            .with_float("mean_ms", mean)
            .with_float("longest_ms", self.longest)
    }
}

async fn lowest_revision(fleet: &LabFleet) -> eyre::Result<u64> {
    let caller = FleetCaller::new();
    let mut lowest = None;
    for address in admin_addresses(fleet) {
        let status: RouterStatus = caller.get(&address, "/admin/status").await?;
        let revision = status.catalogue_revision;
        lowest = Some(lowest.map_or(revision, |lowest: u64| lowest.min(revision)));
    }
    lowest.ok_or_else(|| eyre!("the fleet has no routers"))
}

// A router of another domain may not know the target, which counts as leaving: it sends no calls
// there.
fn is_leaving(status: &RouterStatus, name: &str) -> bool {
    let target = status
        .targets
        .iter()
        .find(|target| target.target.as_str() == name);
    target.is_none_or(|target| target.state != HostState::Live)
}

fn admin_addresses(fleet: &LabFleet) -> Vec<String> {
    let routers = fleet.routers().values();
    routers
        .map(|router| router.file.admin_address.to_string())
        .collect()
}

fn extra_workspace(round: u32) -> String {
    let digest = format!("{:064x}", 0xabc0 + round);
    format!(
        "[[workspace]]\nname = \"extra-{round}\"\nowner = \"lab\"\nkeys = [\"sha256:{digest}\"]\n"
    )
}
