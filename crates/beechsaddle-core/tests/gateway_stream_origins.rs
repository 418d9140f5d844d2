//! Tests of where streams began, who knows it, and where they may be resumed.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use beechsaddle_core::gateway::{
    ChoiceInput, EvacuationRegistry, ORIGIN_RETENTION_MS, PeerRecord, PeerRing, PolicyOptions,
    PromptShape, ResumeRefusal, ResumedStream, RouteKind, RouteRule, StreamDirectory, StreamOrigin,
    TargetPhase, TargetRecord, TargetRoster, WeightedService, choose_target, resume_at,
};
use beechsaddle_core::hash::rendezvous_weight;
use beechsaddle_core::prelude::*;
use quickcheck::quickcheck;

const START: ClockTime = ClockTime::from_millis(1_000_000);

/// The longest time of a stream, in milliseconds.
const STREAM_SPAN_MS: u64 = 5_000;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: ServiceName::new("engine"),
        version: SoftwareVersion::new(version),
    }
}

fn target(name: &str, version: &str, revision: u64) -> TargetRecord {
    TargetRecord {
        name: TargetName::new(name),
        started: None,
        revision,
        service: ServiceName::new("engine"),
        version: SoftwareVersion::new(version),
        address: SocketAddr::from(([127, 0, 0, 1], revision as u16)),
        domain: DomainName::new("north"),
        slots: 6,
        phase: TargetPhase::Ready,
        cold_ms: 0,
    }
}

fn route(services: &[(&str, u64)]) -> RouteRule {
    let services = services.iter().map(|(service, weight)| WeightedService {
        service: ServiceName::new(*service),
        weight: *weight,
    });
    RouteRule {
        name: RouteName::new("chat"),
        host: "h.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Stream { is_resumable: true },
        services: services.collect(),
        timeout_ms: 5_000,
        objective_ms: 500,
        pause_ms: None,
        attempts_max: 2,
        priority: 0,
        is_open: false,
    }
}

fn resume(
    services: &[(&str, u64)],
    stream: ResumedStream,
    sole_version: Option<&str>,
) -> Result<StreamOrigin, ResumeRefusal> {
    let other = ServiceName::new("other");
    let sole_version = sole_version.map(SoftwareVersion::new);
    resume_at(&route(services), &other, stream, sole_version)
}

/// A resumed stream went to the service that its new attempt was drawn for, and a service that the
/// route had lost.
#[test]
fn resume_at_service_that_began_the_stream() {
    let known = ResumedStream::Known(origin("v1"));
    let split = [("other", 99), ("engine", 1)];
    assert_eq!(resume(&split, known.clone(), None), Ok(origin("v1")));
    for lost in [&[("other", 1)][..], &[("other", 1), ("engine", 0)]] {
        let verdict = resume(lost, known.clone(), Some("v1"));
        assert_eq!(verdict, Err(ResumeRefusal::ServiceRemoved));
    }
}

/// A stream of unknown origin was resumed since one version alone was listed.
#[test]
fn resume_at_unknown_origin_is_refused() {
    let verdict = resume(&[("other", 1)], ResumedStream::Unknown, Some("v1"));
    assert_eq!(verdict, Err(ResumeRefusal::UnknownOrigin));
}

#[test]
fn resume_at_unnamed_stream_needs_a_sole_version() {
    let services = [("other", 1)];
    let verdict = resume(&services, ResumedStream::Unnamed, Some("v1"));
    let version = verdict.map(|origin| (origin.service.to_string(), origin.version.to_string()));
    assert_eq!(version, Ok(("other".to_owned(), "v1".to_owned())));
    let verdict = resume(&services, ResumedStream::Unnamed, None);
    assert_eq!(verdict, Err(ResumeRefusal::UnknownOrigin));
}

/// The version of a release that has just ended was forgotten while its streams could still come back.
#[test]
fn sole_version_counts_targets_that_left() {
    let mut roster = TargetRoster::default();
    let service = ServiceName::new("engine");
    let sole_version =
        |roster: &TargetRoster, now| roster.sole_version(now, &service, STREAM_SPAN_MS);
    roster.take_listing(ClockTime::ZERO, []);
    assert_eq!(sole_version(&roster, START), None);
    roster.put(START, target("a", "v1", 1));
    let first = sole_version(&roster, START);
    assert_eq!(first, Some(SoftwareVersion::new("v1")));
    roster.put(START, target("b", "v2", 2));
    assert_eq!(sole_version(&roster, START), None);
    roster.remove(START, &TargetName::new("a"));
    assert_eq!(sole_version(&roster, START), None);
    let later = START.plus_ms(ORIGIN_RETENTION_MS);
    let second = sole_version(&roster, later);
    assert_eq!(second, Some(SoftwareVersion::new("v2")));
}

/// A router that had just started took the versions that it listed for all that there had been.
#[test]
fn sole_version_needs_a_list_as_old_as_streams() {
    let mut roster = TargetRoster::default();
    let service = ServiceName::new("engine");
    roster.put(START, target("a", "v1", 1));
    assert_eq!(roster.sole_version(START, &service, STREAM_SPAN_MS), None);
    roster.take_listing(START, [target("a", "v1", 1)]);
    let early = START.plus_ms(STREAM_SPAN_MS);
    assert_eq!(roster.sole_version(early, &service, STREAM_SPAN_MS), None);
    let late = early.plus_ms(STREAM_SPAN_MS);
    let version = roster.sole_version(late, &service, STREAM_SPAN_MS);
    assert_eq!(version, Some(SoftwareVersion::new("v1")));
}

fn choose(roster: &TargetRoster, version: &str, tried: &[TargetName]) -> Option<TargetName> {
    let input = ChoiceInput {
        service: &ServiceName::new("engine"),
        version: Some(&SoftwareVersion::new(version)),
        is_engine: true,
        domain: &DomainName::new("north"),
        prompt: &PromptShape::default(),
        request_id: "id",
        tried,
        runs_once: false,
        suspect: None,
        evacuations: &EvacuationRegistry::disabled(),
        warm_up: None,
        routers: 1,
        policy: PolicyOptions::default(),
    };
    choose_target(roster, START, input).map(|choice| choice.target)
}

/// An idle or a sound target of another version was preferred to a busy or ejected one of the stream's.
#[test]
fn choose_target_of_another_version_never() {
    let mut roster = TargetRoster::default();
    roster.put(START, target("a", "v1", 1));
    roster.put(START, target("b", "v2", 2));
    let busy = roster.stats_mut(&TargetName::new("a"));
    busy.expect("a target").active = 1_000;
    assert_eq!(choose(&roster, "v1", &[]), Some(TargetName::new("a")));
    assert_eq!(choose(&roster, "v1", &[TargetName::new("a")]), None);
    assert_eq!(choose(&roster, "v3", &[]), None);
}

#[test]
fn directory_first_origin_stays() {
    let mut directory = StreamDirectory::default();
    let stream = StreamId::new("call-1");
    directory.record(START, stream.clone(), origin("v1"));
    directory.record(START, stream.clone(), origin("v2"));
    assert_eq!(directory.find(START, &stream), Some(&origin("v1")));
}

#[test]
fn directory_record_again_extends_retention() {
    let mut directory = StreamDirectory::default();
    let stream = StreamId::new("call-1");
    directory.record(START, stream.clone(), origin("v1"));
    let half = START.plus_ms(ORIGIN_RETENTION_MS / 2);
    directory.record(half, stream.clone(), origin("v1"));
    let late = START.plus_ms(ORIGIN_RETENTION_MS);
    directory.record(late, StreamId::new("call-2"), origin("v1"));
    assert_eq!(directory.find(late, &stream), Some(&origin("v1")));
    let end = half.plus_ms(ORIGIN_RETENTION_MS);
    assert_eq!(directory.find(end, &stream), None);
}

/// A directory without a bound would use up the host's memory in a burst of streams.
#[test]
fn directory_in_a_burst_is_bounded() {
    let mut directory = StreamDirectory::default();
    for number in 0..40_000 {
        let stream = StreamId::new(format!("call-{number}"));
        directory.record(START.plus_ms(number), stream, origin("v1"));
    }
    assert_eq!(directory.len(), 16_384);
    let now = START.plus_ms(40_000);
    assert!(directory.find(now, &StreamId::new("call-39999")).is_some());
    assert!(directory.find(now, &StreamId::new("call-0")).is_none());
}

/// A fleet of routers in some failure domains.
struct Fleet {
    peers: Vec<PeerRecord>,
}

impl Fleet {
    fn new(routers: usize, domains: usize) -> Self {
        let peers = (0..routers).map(|number| PeerRecord {
            host: HostName::new(format!("host-{number}")),
            domain: DomainName::new(format!("domain-{}", number % domains)),
            address: Some(SocketAddr::from(([127, 0, 0, 1], 7_000 + number as u16))),
            link_mbps: 0,
        });
        Fleet {
            peers: peers.collect(),
        }
    }

    /// Returns the view of a router that knows some others to be down.
    fn ring(&self, router: usize, down: &BTreeSet<usize>) -> PeerRing {
        let me = &self.peers[router];
        let mut ring = PeerRing::new(me.host.clone(), me.domain.clone());
        ring.take_listing(self.peers.iter().cloned());
        for number in down {
            ring.mark_down(START, &self.peers[*number].host);
        }
        ring
    }

    /// Returns the routers that keep a stream's origin, if those that are down do not answer.
    fn keepers(&self, router: usize, stream: &StreamId, down: &BTreeSet<usize>) -> Vec<usize> {
        let ring = self.ring(router, &BTreeSet::new());
        let domains = ring.origin_keepers(START, stream);
        let kept = domains.into_iter().filter_map(|routers| {
            let mut numbers = routers.into_iter().map(|peer| self.number(peer));
            numbers.find(|number| !down.contains(number))
        });
        kept.collect()
    }

    /// Returns the routers that another one asks.
    fn sources(&self, router: usize, stream: &StreamId) -> Vec<usize> {
        let ring = self.ring(router, &BTreeSet::new());
        let sources = ring.origin_sources(START, stream);
        sources.into_iter().map(|peer| self.number(peer)).collect()
    }

    fn number(&self, peer: &PeerRecord) -> usize {
        let mut peers = self.peers.iter();
        let number = peers.position(|other| other.host == peer.host);
        number.expect("a router of the fleet")
    }
}

quickcheck! {
    /// A router asked others than those that keep a stream's origin.
    fn origin_sources_include_every_keeper(
        size: u8, domains: u8, began: u8, asks: u8, down: Vec<u8>, stream: u32
    ) -> bool {
        let routers = 2 + usize::from(size) % 30;
        let fleet = Fleet::new(routers, 1 + usize::from(domains) % 5);
        let (began, asks) = (usize::from(began) % routers, usize::from(asks) % routers);
        let down = down.into_iter().map(|number| usize::from(number) % routers);
        let down: BTreeSet<_> = down.take(3).collect();
        let stream = StreamId::new(stream.to_string());
        let sources = fleet.sources(asks, &stream);
        let mut keepers = fleet.keepers(began, &stream, &down).into_iter();
        keepers.all(|keeper| keeper == asks || sources.contains(&keeper))
    }
}

/// Most streams could not be resumed after the loss of about half of all routers at once.
#[test]
fn origin_survives_loss_of_half_the_routers() {
    for (routers, domains) in [(8, 3), (7, 3), (74, 3), (195, 5), (450, 5)] {
        let fleet = Fleet::new(routers, domains);
        let none = BTreeSet::new();
        let (mut interrupted, mut known) = (0, 0);
        for round in 0..40_usize {
            let is_lost = |number: &usize| {
                rendezvous_weight(&round.to_string(), &number.to_string()) % 100 < 55
            };
            let lost: BTreeSet<_> = (0..routers).filter(is_lost).collect();
            let Some(asks) = (0..routers).find(|number| !lost.contains(number)) else {
                continue;
            };
            for began in lost.iter().take(8) {
                let stream = StreamId::new(format!("stream-{round}-{began}"));
                let sources = fleet.sources(asks, &stream);
                let mut keepers = fleet.keepers(*began, &stream, &none).into_iter();
                interrupted += 1;
                known += u32::from(keepers.any(|keeper| {
                    keeper == asks || (sources.contains(&keeper) && !lost.contains(&keeper))
                }));
            }
        }
        assert!(interrupted > 100);
        let share = f64::from(known) / f64::from(interrupted);
        assert!(share >= 0.5, "{routers} routers: {share:.2} are known");
    }
}
