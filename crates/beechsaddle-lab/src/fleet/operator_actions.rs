//! The `operator_actions` module provides the writes of operators and the platform to a fleet.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use eyre::{WrapErr, eyre};

use beechsaddle::catalogue_files::{BaseFile, read_catalogue_texts};
use beechsaddle::operator::{ApplyOptions, ApplyRun};
use beechsaddle::platform::PlatformClient;
use beechsaddle_core::clock::ClockTime;
use beechsaddle_core::members::HostList;
use beechsaddle_core::names::{DomainName, ObjectKey, OwnerName};
use beechsaddle_core::objects::{FleetLayout, PlatformObject};
use beechsaddle_core::platform::{PlatformReply, WriteGuard};

/// Few shards, so that the routers of a small fleet share shards as those of a large one do.
const LAYOUT: FleetLayout = FleetLayout {
    ledger_shards: 4,
    dedup_shards: 4,
};

/// Applies a catalogue, as `beechsaddle catalogue apply` does.
///
/// `base` is the state with which the files were last in sync. Returns the new base.
pub(super) async fn apply_catalogue(
    platform: &PlatformClient,
    text: &str,
    base: BaseFile,
) -> eyre::Result<BaseFile> {
    let texts = [("catalogue.toml".to_owned(), text.to_owned())];
    let declared = read_catalogue_texts(texts).map_err(|findings| eyre!("{findings}"))?;
    let options = ApplyOptions {
        author: OwnerName::new("lab"),
        now: system_time(),
        layout: LAYOUT,
    };
    let run = ApplyRun::new(platform, options, &declared, base);
    let outcome = run.run().await.wrap_err("cannot apply the catalogue")?;
    Ok(outcome.base)
}

/// Writes the host lists, as the platform does.
pub(super) async fn write_hosts(
    platform: &PlatformClient,
    lists: BTreeMap<DomainName, HostList>,
) -> eyre::Result<()> {
    for (domain, list) in lists {
        let key = ObjectKey::new(format!("hosts/{domain}"));
        let guard = match platform.read(key.clone()).await {
            PlatformReply::Found(stored) => WriteGuard::Version(stored.version),
            PlatformReply::Absent => WriteGuard::Absent,
            reply => return Err(eyre!("cannot read {key}: {reply:?}")),
        };
        let object = PlatformObject::Hosts(list);
        match platform.write(key.clone(), object, guard).await {
            PlatformReply::Written { .. } => {}
            reply => return Err(eyre!("cannot write {key}: {reply:?}")),
        }
    }
    Ok(())
}

fn system_time() -> ClockTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    ClockTime::from_millis(since_epoch.map_or(0, |span| span.as_millis() as u64))
}
