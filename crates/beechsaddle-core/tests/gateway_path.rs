//! Tests of whether a router reaches the targets by itself.

use beechsaddle_core::clock::ClockTime;
use beechsaddle_core::gateway::{ConnectFault, PathChange, PathMonitor, PeerRecord, PeerRing};
use beechsaddle_core::names::{DomainName, HostName, TargetName};

fn fail(monitor: &mut PathMonitor, target: &str, ready_targets: usize) -> Option<PathChange> {
    monitor.record_unreached(
        &TargetName::new(target),
        ConnectFault::Silent,
        ready_targets,
    )
}

fn refuse(monitor: &mut PathMonitor, target: &str, ready_targets: usize) -> Option<PathChange> {
    monitor.record_unreached(
        &TargetName::new(target),
        ConnectFault::Refused,
        ready_targets,
    )
}

fn reach(monitor: &mut PathMonitor, target: &str) -> Option<PathChange> {
    monitor.record_reached(&TargetName::new(target))
}

#[test]
fn path_is_lost_after_six_targets_in_a_row() {
    let mut monitor = PathMonitor::default();
    for target in ["a", "b", "c", "d", "e"] {
        assert_eq!(fail(&mut monitor, target, 12), None);
    }
    assert_eq!(fail(&mut monitor, "f", 12), Some(PathChange::Lost));
    assert_eq!(fail(&mut monitor, "g", 12), None);
    assert!(monitor.is_lost());
    assert_eq!(reach(&mut monitor, "d"), Some(PathChange::Regained));
    assert!(!monitor.is_lost());
}

/// A router that reaches a part of the targets needs tunnels to the others only.
#[test]
fn tunnels_are_needed_for_unreached_targets_only() {
    let mut monitor = PathMonitor::default();
    fail(&mut monitor, "a", 12);
    assert!(!monitor.needs_tunnel(&TargetName::new("a")));
    reach(&mut monitor, "c");
    fail(&mut monitor, "b", 12);
    assert!(!monitor.is_lost());
    let needing = ["a", "b", "c"].map(|name| monitor.needs_tunnel(&TargetName::new(name)));
    assert_eq!(needing, [true, true, false]);
    reach(&mut monitor, "a");
    assert!(!monitor.needs_tunnel(&TargetName::new("b")));
}

/// Targets that refuse connections have crashed: a router that asked others about them did not
/// attribute their crashes to the requests that caused them.
#[test]
fn refusing_targets_need_no_tunnels() {
    let mut monitor = PathMonitor::default();
    refuse(&mut monitor, "a", 12);
    refuse(&mut monitor, "b", 12);
    assert!(monitor.is_suspected());
    reach(&mut monitor, "c");
    assert!(!monitor.needs_tunnel(&TargetName::new("a")));
    assert!(!monitor.needs_probes());
    for target in ["a", "b", "c", "d", "e"] {
        assert_eq!(refuse(&mut monitor, target, 12), None);
    }
    assert_eq!(refuse(&mut monitor, "f", 12), Some(PathChange::Lost));
    assert!(monitor.needs_tunnel(&TargetName::new("a")));
}

/// Targets that are not reached because they are gone count for nothing.
#[test]
fn gone_targets_are_forgotten() {
    let mut monitor = PathMonitor::default();
    fail(&mut monitor, "a", 12);
    fail(&mut monitor, "b", 12);
    assert!(monitor.is_suspected());
    monitor.forget(&TargetName::new("a"));
    assert!(!monitor.is_suspected());
    assert!(!monitor.needs_tunnel(&TargetName::new("b")));
}

/// A partition that was concluded from targets that have crashed ends when they are gone: a router
/// waited for them for good.
#[test]
fn gone_targets_end_a_presumed_partition() {
    let mut monitor = PathMonitor::default();
    fail(&mut monitor, "a", 2);
    assert_eq!(fail(&mut monitor, "b", 2), Some(PathChange::Lost));
    assert_eq!(monitor.forget(&TargetName::new("a")), None);
    let change = monitor.forget(&TargetName::new("b"));
    assert_eq!(change, Some(PathChange::Regained));
    assert!(!monitor.is_lost());
}

/// A single dead target does not count as a partition, however often it is tried.
#[test]
fn path_stays_with_one_dead_target() {
    let mut monitor = PathMonitor::default();
    for _ in 0..10 {
        assert_eq!(fail(&mut monitor, "a", 12), None);
        assert_eq!(fail(&mut monitor, "b", 12), None);
    }
    assert_eq!(reach(&mut monitor, "d"), None);
    assert_eq!(fail(&mut monitor, "c", 12), None);
    assert!(!monitor.is_lost());
}

/// With fewer than six targets, a partition is noticed once all of them are unreachable.
#[test]
fn path_is_lost_with_few_targets() {
    let mut monitor = PathMonitor::default();
    assert_eq!(fail(&mut monitor, "a", 2), None);
    assert_eq!(fail(&mut monitor, "b", 2), Some(PathChange::Lost));
    let mut monitor = PathMonitor::default();
    assert_eq!(fail(&mut monitor, "a", 1), Some(PathChange::Lost));
}

/// A router of a large domain that is cut off as a whole asked only routers of that domain.
#[test]
fn tunnel_routers_of_other_domains_are_asked() {
    let mut ring = PeerRing::new(HostName::new("north-0"), DomainName::new("north"));
    let hosts = ["north", "south"].map(|domain| (0..30).map(move |number| (domain, number)));
    ring.take_listing(
        hosts
            .into_iter()
            .flatten()
            .map(|(domain, number)| PeerRecord {
                host: HostName::new(format!("{domain}-{number}")),
                domain: DomainName::new(domain),
                address: Some(([127, 0, 0, 1], 7_000 + number).into()),
                link_mbps: 0,
            }),
    );
    let (now, target) = (ClockTime::ZERO, TargetName::new("engine-1"));
    let asked = ring.tunnel_routers(now, &target, |_| true);
    let domains: Vec<_> = asked.iter().map(|peer| peer.domain.as_str()).collect();
    assert_eq!(domains[..2], ["north", "north"]);
    assert!(domains.len() > 2 && domains[2..].iter().all(|domain| *domain == "south"));
    assert!(asked.iter().all(|peer| peer.host.as_str() != "north-0"));
    let foreign = ring.tunnel_routers(now, &target, |peer| peer.domain.as_str() == "south");
    assert!(foreign.iter().all(|peer| peer.domain.as_str() == "south"));
}
