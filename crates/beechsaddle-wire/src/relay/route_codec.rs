//! The `route_codec` module provides the encoding of routes.

use std::sync::Arc;

use beechsaddle_core::gateway::{HostDifference, RouteKind, RouteRule, WeightedService};
use beechsaddle_core::names::{RouteName, ServiceName};

use crate::error::Result;
use crate::lending_capnp::{RelayedKind, relayed_host, relayed_route, relayed_share};

/// Encodes the changes of the routes of a host.
pub(super) fn write_host(
    host: &str,
    difference: &HostDifference,
    mut builder: relayed_host::Builder<'_>,
) {
    builder.set_host(host);
    let mut removed = builder
        .reborrow()
        .init_removed(difference.removed.len() as u32);
    for (index, prefix) in (0..).zip(&difference.removed) {
        removed.set(index, &**prefix);
    }
    let mut routes = builder.init_routes(difference.routes.len() as u32);
    for (index, route) in (0..).zip(&difference.routes) {
        write_route(route, routes.reborrow().get(index));
    }
}

/// Decodes the changes of the routes of a host.
pub(super) fn read_host(host: &str, reader: relayed_host::Reader<'_>) -> Result<HostDifference> {
    let mut difference = HostDifference::default();
    for prefix in reader.get_removed()?.iter() {
        difference.removed.push(Arc::from(prefix?.to_str()?));
    }
    for route in reader.get_routes()?.iter() {
        difference.routes.push(Arc::new(read_route(host, route)?));
    }
    Ok(difference)
}

fn write_route(route: &RouteRule, mut builder: relayed_route::Builder<'_>) {
    builder.set_name(route.name.as_str());
    builder.set_path_prefix(route.path_prefix.as_str());
    builder.set_kind(match route.kind {
        RouteKind::Idempotent => RelayedKind::Idempotent,
        RouteKind::NotRepeatable => RelayedKind::NotRepeatable,
        RouteKind::Stream {
            is_resumable: false,
        } => RelayedKind::Stream,
        RouteKind::Stream { is_resumable: true } => RelayedKind::ResumableStream,
    });
    builder.set_priority(route.priority);
    builder.set_is_open(route.is_open);
    builder.set_has_pause(route.pause_ms.is_some());
    builder.set_pause_ms(route.pause_ms.unwrap_or(0));
    builder.set_attempts_max(route.attempts_max);
    builder.set_timeout_ms(route.timeout_ms);
    builder.set_objective_ms(route.objective_ms);
    let mut services = builder.init_services(route.services.len() as u32);
    for (index, entry) in (0..).zip(&route.services) {
        let mut share = services.reborrow().get(index);
        share.set_service(entry.service.as_str());
        share.set_weight(entry.weight);
    }
}

fn read_route(host: &str, reader: relayed_route::Reader<'_>) -> Result<RouteRule> {
    let services = reader.get_services()?;
    let services = services.iter().map(read_share);
    Ok(RouteRule {
        name: RouteName::new(reader.get_name()?.to_str()?),
        host: host.to_owned(),
        path_prefix: reader.get_path_prefix()?.to_string()?,
        kind: match reader.get_kind()? {
            RelayedKind::Idempotent => RouteKind::Idempotent,
            RelayedKind::NotRepeatable => RouteKind::NotRepeatable,
            RelayedKind::Stream => RouteKind::Stream {
                is_resumable: false,
            },
            RelayedKind::ResumableStream => RouteKind::Stream { is_resumable: true },
        },
        services: services.collect::<Result<_>>()?,
        timeout_ms: reader.get_timeout_ms(),
        objective_ms: reader.get_objective_ms(),
        pause_ms: reader.get_has_pause().then_some(reader.get_pause_ms()),
        attempts_max: reader.get_attempts_max(),
        priority: reader.get_priority(),
        is_open: reader.get_is_open(),
    })
}

fn read_share(reader: relayed_share::Reader<'_>) -> Result<WeightedService> {
    Ok(WeightedService {
        service: ServiceName::new(reader.get_service()?.to_str()?),
        weight: reader.get_weight(),
    })
}
