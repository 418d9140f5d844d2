//! The `host_lists` module provides the host lists that the platform stores for a fleet.

use std::collections::BTreeMap;

use beechsaddle_core::members::{HostList, HostRecord, HostRole, HostState};
use beechsaddle_core::names::DomainName;

use super::lab_target::LabTarget;
use super::router_file::RouterFile;

/// Returns the host list of each domain.
pub(super) fn host_lists<'a>(
    routers: impl Iterator<Item = &'a RouterFile>,
    targets: impl Iterator<Item = &'a LabTarget>,
) -> BTreeMap<DomainName, HostList> {
    let mut lists: BTreeMap<DomainName, HostList> = BTreeMap::new();
    for record in routers.map(router_record).chain(targets.map(target_record)) {
        let list = lists.entry(record.domain.clone()).or_default();
        list.hosts.push(record);
    }
    lists
}

fn router_record(router: &RouterFile) -> HostRecord {
    HostRecord {
        host: router.plan.host.clone(),
        domain: router.plan.domain.clone(),
        epoch: 1,
        address: router.call_address.to_string(),
        role: HostRole::Router {
            peer_address: router.peer_address.to_string(),
            admin_address: router.admin_address.to_string(),
        },
        state: HostState::Live,
    }
}

fn target_record(target: &LabTarget) -> HostRecord {
    HostRecord {
        host: target.plan.host.clone(),
        domain: target.plan.domain.clone(),
        epoch: 1,
        address: target.address.to_string(),
        role: HostRole::Target {
            service: target.plan.service.clone(),
            checks_fence: !target.plan.arguments.iter().any(ignores_fence),
        },
        state: target.state,
    }
}

fn ignores_fence(argument: impl AsRef<str>) -> bool {
    argument.as_ref() == "--ignores-fence"
}
