//! The `heartbeat_codec` module provides the encoding of heartbeats and the updates in them.

use beechsaddle_core::catalogue::{EntryId, EntryKind};
use beechsaddle_core::members::HostState;
use beechsaddle_core::objects::FleetLayout;
use beechsaddle_core::peer::{LimitUse, PeerHeartbeat, RouterState, RouterUpdate, TargetUpdate};

use super::engine_codec::{read_engine, read_load, write_engine, write_load};
use super::identity_codec::{read_incarnation, write_incarnation};
use super::limits::UPDATES_MAX;
use super::text_codec::{check_count, check_name, check_text, read_name, read_text};
use crate::error::Result;
use crate::peer_capnp;

/// Encodes a heartbeat.
pub(super) fn write_heartbeat(
    heartbeat: &PeerHeartbeat,
    mut builder: peer_capnp::heartbeat::Builder<'_>,
) -> Result<()> {
    builder.set_domain(check_name(heartbeat.domain.as_str())?);
    builder.set_address(check_text(&heartbeat.address)?);
    builder.set_sequence(heartbeat.sequence);
    builder.set_state(match heartbeat.state {
        RouterState::Live => peer_capnp::RouterState::Live,
        RouterState::Draining => peer_capnp::RouterState::Draining,
        RouterState::Left => peer_capnp::RouterState::Left,
    });
    builder.set_catalogue_revision(heartbeat.catalogue_revision);
    if let Some(layout) = &heartbeat.layout {
        write_layout(layout, builder.reborrow().init_layout());
    }
    write_targets(&heartbeat.targets, &mut builder)?;
    write_limits(&heartbeat.limits, &mut builder)?;
    write_routers(&heartbeat.routers, &mut builder)
}

/// Decodes a heartbeat.
pub(super) fn read_heartbeat(reader: peer_capnp::heartbeat::Reader<'_>) -> Result<PeerHeartbeat> {
    Ok(PeerHeartbeat {
        domain: read_name(reader.get_domain()?)?.into(),
        address: read_text(reader.get_address()?)?.to_owned(),
        sequence: reader.get_sequence(),
        state: match reader.get_state()? {
            peer_capnp::RouterState::Live => RouterState::Live,
            peer_capnp::RouterState::Draining => RouterState::Draining,
            peer_capnp::RouterState::Left => RouterState::Left,
        },
        catalogue_revision: reader.get_catalogue_revision(),
        layout: match reader.has_layout() {
            true => Some(read_layout(reader.get_layout()?)),
            false => None,
        },
        targets: read_targets(reader)?,
        limits: read_limits(reader)?,
        routers: read_routers(reader)?,
    })
}

fn write_layout(layout: &FleetLayout, mut builder: peer_capnp::fleet_layout::Builder<'_>) {
    builder.set_ledger_shards(layout.ledger_shards);
    builder.set_dedup_shards(layout.dedup_shards);
}

fn read_layout(reader: peer_capnp::fleet_layout::Reader<'_>) -> FleetLayout {
    FleetLayout {
        ledger_shards: reader.get_ledger_shards(),
        dedup_shards: reader.get_dedup_shards(),
    }
}

// Empty lists are omitted: most heartbeats carry no updates.
fn write_targets(
    targets: &[TargetUpdate],
    builder: &mut peer_capnp::heartbeat::Builder<'_>,
) -> Result<()> {
    if targets.is_empty() {
        return Ok(());
    }
    let count = check_count(targets.len(), UPDATES_MAX)?;
    let mut list = builder.reborrow().init_targets(count);
    for (index, update) in (0..count).zip(targets) {
        let mut item = list.reborrow().get(index);
        item.set_target(check_name(update.target.as_str())?);
        item.set_epoch(update.epoch);
        item.set_state(match update.state {
            HostState::Live => peer_capnp::HostState::Live,
            HostState::Leaving => peer_capnp::HostState::Leaving,
            HostState::Down => peer_capnp::HostState::Down,
        });
        item.set_sequence(update.sequence);
        if let Some(load) = &update.load {
            write_load(load, &mut item);
        }
        if let Some(engine) = &update.engine {
            write_engine(engine, item.init_engine())?;
        }
    }
    Ok(())
}

fn read_targets(reader: peer_capnp::heartbeat::Reader<'_>) -> Result<Vec<TargetUpdate>> {
    let list = reader.get_targets()?;
    check_count(list.len() as usize, UPDATES_MAX)?;
    list.iter().map(read_target).collect()
}

fn read_target(reader: peer_capnp::target_news::Reader<'_>) -> Result<TargetUpdate> {
    Ok(TargetUpdate {
        target: read_name(reader.get_target()?)?.into(),
        epoch: reader.get_epoch(),
        state: match reader.get_state()? {
            peer_capnp::HostState::Live => HostState::Live,
            peer_capnp::HostState::Leaving => HostState::Leaving,
            peer_capnp::HostState::Down => HostState::Down,
        },
        sequence: reader.get_sequence(),
        load: read_load(reader),
        engine: match reader.has_engine() {
            true => Some(read_engine(reader.get_engine()?)?),
            false => None,
        },
    })
}

fn write_limits(
    limits: &[LimitUse],
    builder: &mut peer_capnp::heartbeat::Builder<'_>,
) -> Result<()> {
    if limits.is_empty() {
        return Ok(());
    }
    let count = check_count(limits.len(), UPDATES_MAX)?;
    let mut list = builder.reborrow().init_limits(count);
    for (index, limit) in (0..count).zip(limits) {
        let mut item = list.reborrow().get(index);
        item.set_kind(match limit.entry.kind {
            EntryKind::Workspace => peer_capnp::EntryKind::Workspace,
            EntryKind::Service => peer_capnp::EntryKind::Service,
            EntryKind::Model => peer_capnp::EntryKind::Model,
        });
        item.set_entry(check_name(&limit.entry.name)?);
        item.set_running(limit.running);
        item.set_held_back(limit.held_back);
        item.set_requests(limit.requests);
        item.set_tokens(limit.tokens);
    }
    Ok(())
}

fn read_limits(reader: peer_capnp::heartbeat::Reader<'_>) -> Result<Vec<LimitUse>> {
    let list = reader.get_limits()?;
    check_count(list.len() as usize, UPDATES_MAX)?;
    list.iter().map(read_limit).collect()
}

fn read_limit(reader: peer_capnp::limit_use::Reader<'_>) -> Result<LimitUse> {
    Ok(LimitUse {
        entry: EntryId {
            kind: match reader.get_kind()? {
                peer_capnp::EntryKind::Workspace => EntryKind::Workspace,
                peer_capnp::EntryKind::Service => EntryKind::Service,
                peer_capnp::EntryKind::Model => EntryKind::Model,
            },
            name: read_name(reader.get_entry()?)?.to_owned(),
        },
        running: reader.get_running(),
        held_back: reader.get_held_back(),
        requests: reader.get_requests(),
        tokens: reader.get_tokens(),
    })
}

fn write_routers(
    routers: &[RouterUpdate],
    builder: &mut peer_capnp::heartbeat::Builder<'_>,
) -> Result<()> {
    if routers.is_empty() {
        return Ok(());
    }
    let count = check_count(routers.len(), UPDATES_MAX)?;
    let mut list = builder.reborrow().init_routers(count);
    for (index, update) in (0..count).zip(routers) {
        let mut item = list.reborrow().get(index);
        write_incarnation(&update.router, item.reborrow().init_router())?;
        item.set_domain(check_name(update.domain.as_str())?);
        item.set_address(check_text(&update.address)?);
        item.set_catalogue_revision(update.catalogue_revision);
        item.set_age_ms(update.age_ms);
    }
    Ok(())
}

fn read_routers(reader: peer_capnp::heartbeat::Reader<'_>) -> Result<Vec<RouterUpdate>> {
    let list = reader.get_routers()?;
    check_count(list.len() as usize, UPDATES_MAX)?;
    list.iter().map(read_router).collect()
}

fn read_router(reader: peer_capnp::router_news::Reader<'_>) -> Result<RouterUpdate> {
    Ok(RouterUpdate {
        router: read_incarnation(reader.get_router()?)?,
        domain: read_name(reader.get_domain()?)?.into(),
        address: read_text(reader.get_address()?)?.to_owned(),
        catalogue_revision: reader.get_catalogue_revision(),
        age_ms: reader.get_age_ms(),
    })
}
