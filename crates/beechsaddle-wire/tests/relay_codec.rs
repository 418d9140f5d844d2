//! Tests of differences between versions of the configuration, as routers send them to each other.

use beechsaddle_core::gateway::{
    CallerLimits, ConfigMismatch, GatewayConfig, RouteKind, RouteRule, ServiceRule, WarmUpRule,
    WeightedService, WorkspaceRule,
};
use beechsaddle_core::names::{RouteName, ServiceName, WorkspaceName};
use beechsaddle_wire::relay::{decode_difference, encode_difference};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// The choices from which a configuration is made. Few different values, so that two configurations have
/// much in common.
#[derive(Clone, Debug)]
struct ConfigSeed {
    routes: Vec<u8>,
    services: Vec<u8>,
    workspaces: Vec<u8>,
    limit: u8,
}

impl Arbitrary for ConfigSeed {
    fn arbitrary(generator: &mut Gen) -> Self {
        ConfigSeed {
            routes: Vec::arbitrary(generator),
            services: Vec::arbitrary(generator),
            workspaces: Vec::arbitrary(generator),
            limit: u8::arbitrary(generator),
        }
    }
}

impl ConfigSeed {
    fn config(&self, version: u64) -> GatewayConfig {
        let limits = CallerLimits {
            body_bytes: self.limit.into(),
            ..CallerLimits::default()
        };
        let mut config = GatewayConfig::new(version, limits);
        for seed in &self.routes {
            config.add_route(route(*seed));
        }
        for seed in &self.services {
            let warm_up = WarmUpRule {
                per_s: f64::from(*seed) / 4.0,
                span_ms: 9,
            };
            let rule = ServiceRule {
                is_engine: seed.is_multiple_of(2),
                event_tokens: (*seed).into(),
                warm_up: (seed.is_multiple_of(3)).then_some(warm_up),
            };
            let name = ServiceName::new(format!("s{}", seed % 5));
            config.services.insert(name, rule);
        }
        for seed in &self.workspaces {
            let name = seed % 7;
            let rule = WorkspaceRule {
                name: WorkspaceName::new(format!("w{name}")),
                priority: (seed.is_multiple_of(2)).then_some(*seed),
                prepaid: (seed.is_multiple_of(3)).then_some((*seed).into()),
            };
            let keys = (0..seed % 3).map(|key| format!("k{name}-{key}"));
            config.add_workspace(rule, keys);
        }
        config
    }
}

fn route(seed: u8) -> RouteRule {
    let kinds = [
        RouteKind::Idempotent,
        RouteKind::NotRepeatable,
        RouteKind::Stream { is_resumable: true },
        RouteKind::Stream {
            is_resumable: false,
        },
    ];
    RouteRule {
        name: RouteName::new(format!("r{seed}")),
        host: format!("{}.example", seed % 3),
        path_prefix: format!("/{}/", seed % 11),
        kind: kinds[seed as usize % 4],
        services: vec![WeightedService {
            service: ServiceName::new(format!("s{}", seed % 5)),
            weight: seed.into(),
        }],
        timeout_ms: 1_000,
        objective_ms: seed.into(),
        pause_ms: (seed.is_multiple_of(2)).then_some(400),
        attempts_max: 2,
        priority: seed % 4,
        is_open: seed.is_multiple_of(5),
    }
}

quickcheck! {
    /// A router that applied a difference to another version than it was made for, or that lost a part of
    /// it, would serve a configuration that no operator wrote.
    fn difference_leads_to_the_newer_version(older: ConfigSeed, newer: ConfigSeed) -> bool {
        let (older, newer) = (older.config(3), newer.config(5));
        let sent = encode_difference(&newer.difference_from(&older)).expect("bytes");
        let difference = decode_difference(&sent).expect("a difference");
        older.try_apply(&difference) == Ok(newer)
    }

    /// The same for a router without a configuration.
    fn difference_from_nothing_is_the_whole_version(seed: ConfigSeed) -> bool {
        let (empty, config) = (GatewayConfig::default(), seed.config(5));
        let sent = encode_difference(&config.difference_from(&empty)).expect("bytes");
        let difference = decode_difference(&sent).expect("a difference");
        empty.try_apply(&difference) == Ok(config)
    }
}

#[test]
fn difference_to_another_version_is_refused() {
    let seed = ConfigSeed {
        routes: vec![1, 2],
        services: vec![1],
        workspaces: vec![1],
        limit: 1,
    };
    let difference = seed.config(5).difference_from(&seed.config(3));
    let mismatch = ConfigMismatch { known: 4, base: 3 };
    assert_eq!(seed.config(4).try_apply(&difference), Err(mismatch));
}

#[test]
fn one_changed_route_is_sent_alone() {
    let seed = ConfigSeed {
        routes: (0..200).collect(),
        services: vec![1, 2],
        workspaces: (0..20).collect(),
        limit: 1,
    };
    let older = seed.config(3);
    let mut newer = seed.config(5);
    newer.add_route(RouteRule {
        path_prefix: "/added/".to_owned(),
        ..route(1)
    });
    let sent = encode_difference(&newer.difference_from(&older)).expect("bytes");
    assert!(sent.len() < 400, "{} bytes", sent.len());
}
