//! The `wait_run` module provides the wait until a revision is in effect at every router.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use beechsaddle_core::members::{HostList, HostRole};
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::prelude::*;
use futures::future::join_all;
use tokio::time::Instant;

use super::{AdminClient, ObjectStore, Result, StoreCaller};

/// The key prefix of host lists.
const HOSTS_PREFIX: &str = "hosts/";

/// The interval between two rounds of status requests, in milliseconds.
const POLL_INTERVAL_MS: u64 = 200;

/// The routers at which a revision is in effect, and the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaitOutcome {
    pub revision: u64,
    /// Routers at which it is in effect.
    pub reached: Vec<HostName>,
    /// Routers with an older revision.
    pub behind: BTreeMap<HostName, u64>,
    /// Routers that did not answer, each with the error.
    pub unreachable: BTreeMap<HostName, String>,
}

impl WaitOutcome {
    /// Whether the revision is in effect at every listed router.
    pub fn is_complete(&self) -> bool {
        self.behind.is_empty() && self.unreachable.is_empty()
    }
}

impl fmt::Display for WaitOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total = self.reached.len() + self.behind.len() + self.unreachable.len();
        write!(
            formatter,
            "revision {} is in force at {} of {total} routers",
            self.revision,
            self.reached.len()
        )?;
        for (host, revision) in &self.behind {
            write!(formatter, "\nbehind: {host} has revision {revision}")?;
        }
        for (host, reason) in &self.unreachable {
            write!(formatter, "\nnot reached: {host}: {reason}")?;
        }
        Ok(())
    }
}

/// Requests the status of every router in the platform's host lists until a revision is in effect
/// at all of them or `time_limit` has passed.
pub async fn wait_until_effective<S: ObjectStore>(
    store: &S,
    client: &AdminClient,
    revision: u64,
    time_limit: Duration,
) -> Result<WaitOutcome> {
    let deadline = Instant::now() + time_limit;
    let caller = StoreCaller::new(store);
    loop {
        let routers = read_routers(&caller).await?;
        let outcome = request_all(client, revision, &routers).await;
        if outcome.is_complete() || Instant::now() >= deadline {
            return Ok(outcome);
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Returns the admin addresses of all listed routers.
async fn read_routers<S: ObjectStore>(
    caller: &StoreCaller<'_, S>,
) -> Result<BTreeMap<HostName, String>> {
    let mut routers = BTreeMap::new();
    for key in caller.list(ObjectKey::new(HOSTS_PREFIX)).await? {
        let stored = caller.read(&key).await?;
        if let Some(PlatformObject::Hosts(list)) = stored.map(|stored| stored.object) {
            add_routers(list, &mut routers);
        }
    }
    Ok(routers)
}

fn add_routers(list: HostList, routers: &mut BTreeMap<HostName, String>) {
    for record in list.hosts {
        match record.role {
            HostRole::Router { admin_address, .. } => {
                routers.insert(record.host, admin_address);
            }
            HostRole::Target { .. } => {}
        }
    }
}

async fn request_all(
    client: &AdminClient,
    revision: u64,
    routers: &BTreeMap<HostName, String>,
) -> WaitOutcome {
    let mut outcome = WaitOutcome {
        revision,
        ..WaitOutcome::default()
    };
    let requests = routers
        .iter()
        .map(|(host, address)| async move { (host.clone(), client.status(address).await) });
    for (host, result) in join_all(requests).await {
        match result {
            Ok(status) if status.catalogue_revision >= revision => outcome.reached.push(host),
            Ok(status) => {
                outcome.behind.insert(host, status.catalogue_revision);
            }
            Err(error) => {
                outcome.unreachable.insert(host, error.to_string());
            }
        }
    }
    outcome
}
