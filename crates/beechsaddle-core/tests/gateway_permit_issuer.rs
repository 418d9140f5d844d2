//! Tests of limits that targets announce for all routers together.

use std::collections::VecDeque;

use beechsaddle_core::gateway::{
    IssuerRank, LimitState, PermitIssuer, PermitReply, TargetIncarnation, TargetLimit,
};
use beechsaddle_core::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The window over which a limit applies, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// The time step, in milliseconds.
const STEP_MS: u64 = 10;

const START: ClockTime = ClockTime::from_millis(1_000_000);

fn target() -> TargetIncarnation {
    TargetIncarnation {
        name: TargetName::new("engine-1"),
        started: Some(1),
    }
}

fn limit_at(received_at: ClockTime, per_s: Option<f64>) -> TargetLimit {
    TargetLimit { per_s, received_at }
}

/// Returns the most requests that a target with a limit may receive in a window.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

/// Requests that reached the target, and the most of them in a window.
#[derive(Default)]
struct ArrivalLog {
    recent: VecDeque<ClockTime>,
    most: usize,
    all: usize,
}

impl ArrivalLog {
    fn record(&mut self, now: ClockTime) {
        self.recent.push_back(now);
        while self
            .recent
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW_MS)
        {
            self.recent.pop_front();
        }
        self.most = self.most.max(self.recent.len());
        self.all += 1;
    }
}

/// Routers that always have requests for the target.
struct LimitModel {
    states: Vec<LimitState>,
    arrivals: ArrivalLog,
    requests: u64,
    per_s: f64,
}

impl LimitModel {
    fn new(routers: usize, per_s: f64) -> Self {
        LimitModel {
            states: vec![LimitState::default(); routers],
            arrivals: ArrivalLog::default(),
            requests: 0,
            per_s,
        }
    }

    /// Requests permits for all routers that do not pause; `issuer_of` returns the issuer to ask
    /// and its rank.
    fn step(
        &mut self,
        now: ClockTime,
        issuers: &mut [PermitIssuer],
        mut issuer_of: impl FnMut(usize) -> (usize, IssuerRank),
    ) {
        for router in 0..self.states.len() {
            let state = &mut self.states[router];
            if state.paused_for_ms(now) > 0 {
                continue;
            }
            let (index, rank) = issuer_of(router);
            let known = state.in_force();
            let limit = known.unwrap_or(limit_at(now, Some(self.per_s)));
            self.requests += 1;
            match issuers[index].try_take_permit(now, &target(), limit, rank) {
                PermitReply::Granted => {
                    state.record_granted();
                    state.record(now, Some(self.per_s), now);
                    self.arrivals.record(now);
                }
                PermitReply::Wait { wait_ms } => state.record_refused(now, wait_ms),
                PermitReply::Free(limit) => state.take(limit),
            }
        }
    }
}

/// Any number of routers together stays within the limit, and uses most of it.
#[test]
fn issuer_any_number_of_routers_stays_within_limit() {
    for routers in [1, 3, 8, 24, 195] {
        for per_s in [0.3, 1.0, 3.0, 11.0, 50.0] {
            let mut model = LimitModel::new(routers, per_s);
            let mut issuers = [PermitIssuer::default()];
            for step in 0..6_000 {
                let now = START.plus_ms(step * STEP_MS);
                model.step(now, &mut issuers, |_| (0, IssuerRank::First));
            }
            let most = model.arrivals.most;
            assert!(most <= allowed(per_s), "{routers} routers, {per_s}: {most}");
            let wanted = 60.0 * per_s * 0.6;
            let all = model.arrivals.all;
            assert!(
                all as f64 >= wanted,
                "{routers} routers, {per_s}: {all} of {wanted}"
            );
        }
    }
}

/// Permits that accumulate while there are no requests must not exceed the limit when they are used
/// at once.
#[test]
fn issuer_burst_after_idle_stays_within_limit() {
    for per_s in [0.3, 1.0, 5.0, 50.0] {
        let mut model = LimitModel::new(24, per_s);
        let mut issuers = [PermitIssuer::default()];
        for step in 0..9_000 {
            let now = START.plus_ms(step * STEP_MS);
            // Twenty seconds with requests alternate with twenty without.
            if step / 2_000 % 2 == 0 {
                model.step(now, &mut issuers, |_| (0, IssuerRank::First));
            }
        }
        let most = model.arrivals.most;
        assert!(most <= allowed(per_s), "{per_s}: {most}");
    }
}

/// Hundreds of routers that are refused permits by one issuer back off.
#[test]
fn issuer_refused_routers_back_off() {
    let mut model = LimitModel::new(195, 1.0);
    let mut issuers = [PermitIssuer::default()];
    for step in 0..6_000 {
        let now = START.plus_ms(step * STEP_MS);
        model.step(now, &mut issuers, |_| (0, IssuerRank::First));
    }
    // One request of each router in two seconds.
    let requests = model.requests;
    assert!(requests <= 30 * 195, "{requests} requests in a minute");
}

/// While some routers do not know a new issuer, it and the old one issue permits. Both together
/// must stay within the limit.
#[test]
fn issuer_that_joins_starts_slowly() {
    for (seed, per_s) in [(1, 1.0), (2, 5.0), (3, 20.0), (4, 0.5)] {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut model = LimitModel::new(24, per_s);
        let mut issuers = vec![PermitIssuer::default(), PermitIssuer::default()];
        // Each router learns of the new issuer at a different time.
        let learned_at: Vec<u64> = (0..24)
            .map(|_| random.random_range(20_000..26_000))
            .collect();
        for step in 0..4_500 {
            let now = START.plus_ms(step * STEP_MS);
            model.step(now, &mut issuers, |router| {
                let is_new = step * STEP_MS >= learned_at[router];
                (usize::from(is_new), IssuerRank::First)
            });
        }
        let most = model.arrivals.most;
        assert!(most <= allowed(per_s), "{per_s}: {most}");
    }
}

/// Routers that cannot reach the issuer, always or at times, use a substitute. The whole fleet
/// still stays within the limit.
#[test]
fn issuer_substitute_grants_a_smaller_part() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let per_s = [0.3, 1.0, 2.5, 10.0, 50.0][random.random_range(0..5)];
        let mut model = LimitModel::new(8, per_s);
        let mut issuers = vec![PermitIssuer::default(), PermitIssuer::default()];
        let mut partitioned = vec![false; 8];
        for step in 0..6_000 {
            let now = START.plus_ms(step * STEP_MS);
            if random.random_bool(0.003) {
                partitioned = partitioned
                    .iter()
                    .map(|_| random.random_bool(0.5))
                    .collect();
            }
            model.step(now, &mut issuers, |router| match partitioned[router] {
                false => (0, IssuerRank::First),
                true => (1, IssuerRank::Substitute),
            });
        }
        let most = model.arrivals.most;
        assert!(most <= allowed(per_s), "seed {seed}, {per_s}: {most}");
    }
}

/// A limit does not outlive its end, and is not lost when it changes.
#[test]
fn issuer_applies_the_latest_limit() {
    let mut issuer = PermitIssuer::default();
    let first = limit_at(START, Some(1.0));
    let rank = IssuerRank::First;
    assert!(matches!(
        issuer.try_take_permit(START, &target(), first, rank),
        PermitReply::Wait { .. }
    ));
    let ended = limit_at(START.plus_ms(500), None);
    issuer.record(&target(), ended);
    let now = START.plus_ms(600);
    assert_eq!(
        issuer.try_take_permit(now, &target(), first, rank),
        PermitReply::Free(ended)
    );
    let again = limit_at(START.plus_ms(700), Some(2.0));
    let now = START.plus_ms(700);
    assert!(matches!(
        issuer.try_take_permit(now, &target(), again, rank),
        PermitReply::Wait { .. }
    ));
    // An older limit of another router changes nothing.
    assert!(matches!(
        issuer.try_take_permit(now, &target(), ended, rank),
        PermitReply::Wait { .. }
    ));
}

/// A delayed older answer without a limit does not end a newer limit; a newer one does.
#[test]
fn limit_state_reordered_answer_ends_no_limit() {
    let mut state = LimitState::default();
    assert!(!state.record(START, None, START));
    assert!(state.record(START.plus_ms(100), Some(3.0), START));
    assert!(!state.record(START.plus_ms(200), None, START.plus_ms(50)));
    assert!(state.in_force().is_some());
    assert_eq!(
        state.last_received(),
        state.in_force(),
        "sent to other routers"
    );
    state.record_refused(START.plus_ms(200), 900);
    assert!(state.paused_for_ms(START.plus_ms(200)) > 0);
    assert!(state.record(START.plus_ms(300), None, START.plus_ms(150)));
    assert!(state.in_force().is_none());
    assert_eq!(state.paused_for_ms(START.plus_ms(300)), 0);
}
