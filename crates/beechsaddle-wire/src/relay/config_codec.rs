//! The `config_codec` module provides the encoding of differences between versions of the
//! configuration.

use std::sync::Arc;

use beechsaddle_core::gateway::{
    CallerLimits, ConfigDifference, ServiceRule, WarmUpRule, WorkspaceEntry, WorkspaceRule,
};
use beechsaddle_core::names::{ServiceName, WorkspaceName};
use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;

use super::route_codec::{read_host, write_host};
use crate::error::{Result, WireError};
use crate::lending_capnp::{relayed_config, relayed_limits, relayed_service, relayed_workspace};

/// The number of this encoding. It changes with every field that a configuration gets, so that no router
/// takes one from a router that leaves the field out.
pub const CONFIG_FORMAT: u16 = 1;

/// The maximum size of a difference, in words of 8 bytes: several times that of the largest configuration in
/// the store.
const WORDS_MAX: usize = 512 * 1_024;

/// Encodes a difference.
///
/// # Errors
///
/// [`WireError::Encode`] if the message cannot be written.
pub fn encode_difference(difference: &ConfigDifference) -> Result<Vec<u8>> {
    let mut message = Builder::new_default();
    write_config(difference, message.init_root());
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &message)
        .map_err(|error| WireError::Encode(error.to_string()))?;
    Ok(bytes)
}

/// Decodes a difference.
///
/// # Errors
///
/// A [`WireError`] if the bytes are not an encoded difference.
pub fn decode_difference(bytes: &[u8]) -> Result<ConfigDifference> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(WORDS_MAX));
    let message = serialize_packed::read_message(bytes, options)?;
    read_config(message.get_root()?)
}

fn write_config(difference: &ConfigDifference, mut builder: relayed_config::Builder<'_>) {
    builder.set_base(difference.base);
    builder.set_version(difference.version);
    write_limits(difference.limits, builder.reborrow().init_limits());
    let count = difference.passed_limits.len() as u32;
    let mut passed = builder.reborrow().init_passed_limits(count);
    for (index, limits) in (0..).zip(&difference.passed_limits) {
        write_limits(*limits, passed.reborrow().get(index));
    }
    builder.set_has_workspaces(difference.has_workspaces);
    let count = difference.services.len() as u32;
    let mut services = builder.reborrow().init_services(count);
    for (index, (name, rule)) in (0..).zip(&difference.services) {
        write_service(name, rule, services.reborrow().get(index));
    }
    let mut hosts = builder.reborrow().init_hosts(difference.hosts.len() as u32);
    for (index, (host, change)) in (0..).zip(&difference.hosts) {
        write_host(host, change, hosts.reborrow().get(index));
    }
    let count = difference.removed_workspaces.len() as u32;
    let mut removed = builder.reborrow().init_removed_workspaces(count);
    for (index, name) in (0..).zip(&difference.removed_workspaces) {
        removed.set(index, name.as_str());
    }
    let mut workspaces = builder.init_workspaces(difference.workspaces.len() as u32);
    for (index, entry) in (0..).zip(&difference.workspaces) {
        write_workspace(entry, workspaces.reborrow().get(index));
    }
}

fn read_config(reader: relayed_config::Reader<'_>) -> Result<ConfigDifference> {
    let passed = reader.get_passed_limits()?;
    let mut difference = ConfigDifference {
        base: reader.get_base(),
        version: reader.get_version(),
        limits: read_limits(reader.get_limits()?),
        passed_limits: passed.iter().map(read_limits).collect(),
        has_workspaces: reader.get_has_workspaces(),
        services: Default::default(),
        hosts: Default::default(),
        removed_workspaces: Vec::new(),
        workspaces: Vec::new(),
    };
    for service in reader.get_services()?.iter() {
        let name = ServiceName::new(service.get_name()?.to_str()?);
        difference.services.insert(name, read_service(service));
    }
    for host in reader.get_hosts()?.iter() {
        let name = host.get_host()?.to_str()?;
        let change = read_host(name, host)?;
        difference.hosts.insert(Arc::from(name), change);
    }
    for name in reader.get_removed_workspaces()?.iter() {
        let name = WorkspaceName::new(name?.to_str()?);
        difference.removed_workspaces.push(name);
    }
    for workspace in reader.get_workspaces()?.iter() {
        difference.workspaces.push(read_workspace(workspace)?);
    }
    Ok(difference)
}

fn write_limits(limits: CallerLimits, mut builder: relayed_limits::Builder<'_>) {
    builder.set_head_bytes(limits.head_bytes as u64);
    builder.set_body_bytes(limits.body_bytes as u64);
    builder.set_head_timeout_ms(limits.head_timeout_ms);
    builder.set_idle_timeout_ms(limits.idle_timeout_ms);
}

fn read_limits(reader: relayed_limits::Reader<'_>) -> CallerLimits {
    CallerLimits {
        head_bytes: reader.get_head_bytes() as usize,
        body_bytes: reader.get_body_bytes() as usize,
        head_timeout_ms: reader.get_head_timeout_ms(),
        idle_timeout_ms: reader.get_idle_timeout_ms(),
    }
}

fn write_service(
    name: &ServiceName,
    rule: &ServiceRule,
    mut builder: relayed_service::Builder<'_>,
) {
    builder.set_name(name.as_str());
    builder.set_is_engine(rule.is_engine);
    builder.set_event_tokens(rule.event_tokens);
    if let Some(warm_up) = rule.warm_up {
        builder.set_has_warm_up(true);
        builder.set_cold_per_s(warm_up.per_s);
        builder.set_cold_ms(warm_up.span_ms);
    }
}

fn read_service(reader: relayed_service::Reader<'_>) -> ServiceRule {
    ServiceRule {
        is_engine: reader.get_is_engine(),
        event_tokens: reader.get_event_tokens(),
        warm_up: reader.get_has_warm_up().then(|| WarmUpRule {
            per_s: reader.get_cold_per_s(),
            span_ms: reader.get_cold_ms(),
        }),
    }
}

fn write_workspace(entry: &WorkspaceEntry, mut builder: relayed_workspace::Builder<'_>) {
    let rule = &entry.rule;
    builder.set_name(rule.name.as_str());
    builder.set_has_priority(rule.priority.is_some());
    builder.set_priority(rule.priority.unwrap_or(0));
    builder.set_has_prepaid(rule.prepaid.is_some());
    builder.set_prepaid(rule.prepaid.unwrap_or(0));
    let mut keys = builder.init_keys(entry.keys.len() as u32);
    for (index, key) in (0..).zip(&entry.keys) {
        keys.set(index, &**key);
    }
}

fn read_workspace(reader: relayed_workspace::Reader<'_>) -> Result<WorkspaceEntry> {
    let mut keys = Vec::new();
    for key in reader.get_keys()?.iter() {
        keys.push(Arc::from(key?.to_str()?));
    }
    let rule = WorkspaceRule {
        name: WorkspaceName::new(reader.get_name()?.to_str()?),
        priority: reader.get_has_priority().then_some(reader.get_priority()),
        prepaid: reader.get_has_prepaid().then_some(reader.get_prepaid()),
    };
    Ok(WorkspaceEntry {
        rule: Arc::new(rule),
        keys,
    })
}
