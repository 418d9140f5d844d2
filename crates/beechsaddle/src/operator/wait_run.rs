//! The `wait_run` module provides waiting until a revision is in force at every router.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use beechsaddle_core::members::{HostList, HostRole};
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::prelude::*;
use futures::future::join_all;
use tokio::time::Instant;

use super::{AdminClient, ObjectStore, Result, StoreCaller};

/// Where the lists of hosts are.
const HOSTS_PREFIX: &str = "hosts/";

/// The time between two rounds of questions, in milliseconds.
const ROUND_MS: u64 = 200;

/// Where a revision is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaitOutcome {
    /// The revision.
    pub revision: u64,
    /// Routers where it is in force.
    pub reached: Vec<HostName>,
    /// Routers that answer and have an older one.
    pub behind: BTreeMap<HostName, u64>,
    /// Routers that do not answer.
    pub silent: BTreeMap<HostName, String>,
}

impl WaitOutcome {
    /// Whether it is in force at every listed router.
    pub fn is_everywhere(&self) -> bool {
        self.behind.is_empty() && self.silent.is_empty()
    }
}

impl fmt::Display for WaitOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total = self.reached.len() + self.behind.len() + self.silent.len();
        write!(
            formatter,
            "revision {} is in force at {} of {total} routers",
            self.revision,
            self.reached.len()
        )?;
        for (host, revision) in &self.behind {
            write!(formatter, "\nbehind: {host} has revision {revision}")?;
        }
        for (host, reason) in &self.silent {
            write!(formatter, "\nnot reached: {host}: {reason}")?;
        }
        Ok(())
    }
}

/// Asks every router of the platform's lists until a revision is in force everywhere or `span` has
/// passed.
pub async fn wait_in_force<S: ObjectStore>(
    store: &S,
    client: &AdminClient,
    revision: u64,
    span: Duration,
) -> Result<WaitOutcome> {
    let deadline = Instant::now() + span;
    let caller = StoreCaller::new(store);
    loop {
        let routers = read_routers(&caller).await?;
        let outcome = ask_all(client, revision, &routers).await;
        if outcome.is_everywhere() || Instant::now() >= deadline {
            return Ok(outcome);
        }
        tokio::time::sleep(Duration::from_millis(ROUND_MS)).await;
    }
}

/// The admin addresses of all listed routers.
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

async fn ask_all(
    client: &AdminClient,
    revision: u64,
    routers: &BTreeMap<HostName, String>,
) -> WaitOutcome {
    let mut outcome = WaitOutcome {
        revision,
        ..WaitOutcome::default()
    };
    let questions = routers
        .iter()
        .map(|(host, address)| async move { (host.clone(), client.status(address).await) });
    for (host, answer) in join_all(questions).await {
        match answer {
            Ok(status) if status.catalogue_revision >= revision => outcome.reached.push(host),
            Ok(status) => {
                outcome.behind.insert(host, status.catalogue_revision);
            }
            Err(error) => {
                outcome.silent.insert(host, error.to_string());
            }
        }
    }
    outcome
}
