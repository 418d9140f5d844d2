//! Tests of the rules for retries, and of the retry budget of the fleet.

use beechsaddle_core::gateway::{
    AttemptEnd, AttemptHistory, RetryShare, RetryShareOptions, RouteKind,
};
use beechsaddle_core::prelude::*;

const STREAM: RouteKind = RouteKind::Stream {
    is_resumable: false,
};
const RESUMABLE: RouteKind = RouteKind::Stream { is_resumable: true };

fn history(ends: &[AttemptEnd]) -> AttemptHistory {
    let mut history = AttemptHistory::default();
    ends.iter().for_each(|end| history.record(*end));
    history
}

#[test]
fn allows_another_not_repeatable_only_if_never_run() {
    for kind in [RouteKind::NotRepeatable, STREAM] {
        for end in [
            AttemptEnd::Failed,
            AttemptEnd::Broken,
            AttemptEnd::Silent,
            AttemptEnd::Superseded,
        ] {
            assert!(!history(&[end]).allows_another(kind, 3), "{kind:?} {end:?}");
            // A later refusal does not change that an earlier attempt may have run.
            let both = history(&[end, AttemptEnd::NotRun]);
            assert!(!both.allows_another(kind, 3));
            assert!(both.may_have_run());
        }
        for end in [AttemptEnd::Unsent, AttemptEnd::NotRun] {
            assert!(history(&[end]).allows_another(kind, 2));
        }
    }
}

#[test]
fn allows_another_up_to_the_routes_attempts() {
    for kind in [RouteKind::Idempotent, RESUMABLE] {
        assert!(history(&[AttemptEnd::Broken]).allows_another(kind, 2));
        let two = history(&[AttemptEnd::Broken, AttemptEnd::NotRun]);
        assert!(!two.allows_another(kind, 2));
    }
}

#[test]
fn allows_another_unsent_is_bounded_separately() {
    let three = history(&[AttemptEnd::Unsent; 3]);
    assert!(three.allows_another(RouteKind::NotRepeatable, 1));
    assert_eq!(three.sent(), 0);
    let four = history(&[AttemptEnd::Unsent; 4]);
    assert!(!four.allows_another(RouteKind::NotRepeatable, 1));
}

/// Most targets of a service have just crashed, and their hosts refuse connections: a request still reaches
/// one that runs.
#[test]
fn allows_another_refused_is_bounded_by_round_trips() {
    let many = history(&[AttemptEnd::Refused; 15]);
    assert!(many.allows_another(RouteKind::NotRepeatable, 1));
    assert_eq!(many.arrivals(), 0);
    let all = history(&[AttemptEnd::Refused; 16]);
    assert!(!all.allows_another(RouteKind::NotRepeatable, 1));
}

/// Other processes have the addresses of targets that crashed: the request has reached no target, but
/// each attempt is an arrival.
#[test]
fn allows_another_misdirected_uses_up_no_attempt() {
    let two = history(&[AttemptEnd::Misdirected; 2]);
    assert!(two.allows_another(STREAM, 1));
    assert_eq!((two.sent(), two.arrivals()), (0, 2));
    assert!(!two.may_have_run());
    assert!(!history(&[AttemptEnd::Misdirected; 3]).allows_another(STREAM, 1));
    let run = history(&[AttemptEnd::Misdirected, AttemptEnd::Broken]);
    assert!(!run.allows_another(STREAM, 3));
}

const OPTIONS: RetryShareOptions = RetryShareOptions {
    ratio: 0.2,
    allowance: 54.0,
    window_ms: 10_000,
};

/// Each router retries as often as its share allows. Over sliding windows the fleet stays within
/// the ratio of all requests plus the one allowance.
#[test]
fn retry_share_fleet_stays_within_the_budget() {
    let service = ServiceName::new("s");
    let routers = 7;
    let mut fleet = vec![RetryShare::new(OPTIONS); routers];
    fleet
        .iter_mut()
        .for_each(|share| share.set_routers(routers as u64));
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    for step in 0..600_u64 {
        let now = ClockTime::from_millis(1_000_000 + step * 50);
        // The load varies, and is uneven between the routers.
        let active = if (step / 100) % 2 == 0 { routers } else { 1 };
        for share in fleet.iter_mut().take(active) {
            share.record_request(now, &service);
            requests.push(now);
            while share.try_repeat(now, &service) {
                repeats.push(now);
            }
        }
    }
    let within = |times: &[ClockTime], end: ClockTime| {
        let times = times.iter();
        let inside = times.filter(|time| **time <= end && end.since(**time) < OPTIONS.window_ms);
        inside.count() as f64
    };
    for end in &repeats {
        let limit = within(&requests, *end) * OPTIONS.ratio + OPTIONS.allowance;
        assert!(
            within(&repeats, *end) <= limit,
            "beyond the budget at {end}"
        );
    }
    assert!(repeats.len() > 100);
}

/// A router that does not know how many share the allowance uses none of it.
#[test]
fn retry_share_unknown_fleet_uses_only_the_ratio() {
    let service = ServiceName::new("s");
    let mut share = RetryShare::new(OPTIONS);
    let now = ClockTime::from_millis(1_000_000);
    assert!(!share.try_repeat(now, &service));
    for _ in 0..20 {
        share.record_request(now, &service);
    }
    let allowed = (0..20).filter(|_| share.try_repeat(now, &service)).count();
    assert_eq!(allowed, 3);
}
