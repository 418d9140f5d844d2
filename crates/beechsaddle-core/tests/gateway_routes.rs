//! Tests of routes, keys and the split of requests between services.

use std::collections::BTreeSet;

use beechsaddle_core::gateway::{
    CallerLimits, GatewayConfig, RouteKind, RouteMatch, RouteRule, WeightedService, WorkspaceRule,
};
use beechsaddle_core::prelude::*;
use quickcheck::{Arbitrary, Gen, quickcheck};

fn route(name: &str, host: &str, prefix: &str, services: &[(&str, u64)]) -> RouteRule {
    RouteRule {
        name: RouteName::new(name),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        services: services
            .iter()
            .map(|(service, weight)| WeightedService {
                service: ServiceName::new(service),
                weight: *weight,
            })
            .collect(),
        timeout_ms: 1_000,
        objective_ms: 100,
        pause_ms: None,
        attempts_max: 2,
        priority: 0,
        is_open: false,
    }
}

fn config() -> GatewayConfig {
    let mut config = GatewayConfig::new(1, CallerLimits::default());
    config.add_route(route("short", "One.Example", "/a/", &[("s", 1)]));
    config.add_route(route("long", "one.example", "/a/b/", &[("s", 1)]));
    config.add_route(route("other", "two.example", "/a/b/c/", &[("s", 1)]));
    config
}

fn found(host: &str, path: &str) -> Option<String> {
    match config().find_route(host, path) {
        RouteMatch::Found(route) => Some(route.name.to_string()),
        RouteMatch::Missing => None,
    }
}

#[test]
fn find_route_longest_prefix_of_the_host() {
    assert_eq!(found("one.example", "/a/b/c/d").as_deref(), Some("long"));
    assert_eq!(found("one.example", "/a/x").as_deref(), Some("short"));
    assert_eq!(found("two.example", "/a/b/c/").as_deref(), Some("other"));
}

#[test]
fn find_route_ignores_case_and_port() {
    assert_eq!(found("ONE.example:8080", "/a/").as_deref(), Some("short"));
}

#[test]
fn find_route_none() {
    assert_eq!(found("one.example", "/ab/"), None);
    assert_eq!(found("three.example", "/a/"), None);
    assert_eq!(found("two.example", "/a/b/c"), None);
}

#[test]
fn find_key_of_its_workspace() {
    let mut config = config();
    let rule = WorkspaceRule {
        name: WorkspaceName::new("acme"),
        priority: None,
        prepaid: Some(7),
    };
    config.add_workspace(rule, ["k1".to_owned(), "k2".to_owned()]);
    let name = |key: &str| config.find_key(key).map(|rule| rule.name.to_string());
    assert_eq!(name("k1").as_deref(), Some("acme"));
    assert_eq!(name("k2").as_deref(), Some("acme"));
    assert_eq!(name("k3"), None);
}

/// Retries of a caller with the same id must not switch to the other service of a split, and each
/// service receives about its share.
#[test]
fn service_for_split_is_stable_and_fair() {
    let route = route("split", "h", "/", &[("a", 90), ("b", 10)]);
    let mut to_b = 0;
    for number in 0..2_000 {
        let id = format!("id-{number}");
        let first = route.service_for(&id);
        assert_eq!(first, route.service_for(&id));
        to_b += u32::from(first.is_some_and(|service| service.as_str() == "b"));
    }
    assert!((140..=260).contains(&to_b), "{to_b} of 2,000 to a tenth");
}

#[test]
fn service_for_weight_zero_gets_nothing() {
    let route = route("split", "h", "/", &[("a", 1), ("b", 0)]);
    let services: BTreeSet<_> = (0..200)
        .filter_map(|number| route.service_for(&number.to_string()))
        .map(ToString::to_string)
        .collect();
    assert_eq!(services, BTreeSet::from(["a".to_owned()]));
}

/// A path, or the prefix of a route, over so few names that many of them share a start.
#[derive(Clone, Debug)]
struct ShortPath(String);

impl Arbitrary for ShortPath {
    fn arbitrary(generator: &mut Gen) -> Self {
        let names = Vec::<u8>::arbitrary(generator);
        let parts = names
            .iter()
            .take(4)
            .map(|name| ["a", "ab", "b", "\u{e9}"][*name as usize % 4]);
        let parts: Vec<_> = parts.collect();
        ShortPath(format!("/{}", parts.join("/")))
    }
}

quickcheck! {
    /// A lookup that went through the prefixes in order of their length took longer with each route that
    /// was added.
    fn find_route_as_by_trying_all(prefixes: Vec<ShortPath>, path: ShortPath) -> bool {
        let mut config = GatewayConfig::new(1, CallerLimits::default());
        for ShortPath(prefix) in &prefixes {
            config.add_route(route(prefix, "one.example", prefix, &[("s", 1)]));
        }
        let matching = prefixes.iter().filter(|prefix| path.0.starts_with(&prefix.0));
        let longest = matching.max_by_key(|prefix| prefix.0.len());
        let found = match config.find_route("one.example", &path.0) {
            RouteMatch::Found(route) => Some(route.path_prefix.clone()),
            RouteMatch::Missing => None,
        };
        found == longest.map(|prefix| prefix.0.clone())
    }
}
