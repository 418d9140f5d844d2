//! Tests of limits that targets name for all routers together.

use std::collections::VecDeque;

use beechsaddle_core::gateway::{
    LimitGauge, LimitShare, ShareRank, ShareReply, TargetIncarnation, TargetLimit,
};
use beechsaddle_core::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The span over which a limit is held, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// How often time goes on, in milliseconds.
const STEP_MS: u64 = 10;

const START: ClockTime = ClockTime::from_millis(1_000_000);

fn target() -> TargetIncarnation {
    TargetIncarnation {
        name: TargetName::new("engine-1"),
        started: Some(1),
    }
}

fn limit_at(heard_at: ClockTime, per_s: Option<f64>) -> TargetLimit {
    TargetLimit { per_s, heard_at }
}

/// How many requests a target with a limit may get in a window.
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
    fn note(&mut self, now: ClockTime) {
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

/// Routers that all have requests for the target all the time.
struct LimitModel {
    gauges: Vec<LimitGauge>,
    arrivals: ArrivalLog,
    questions: u64,
    per_s: f64,
}

impl LimitModel {
    fn new(routers: usize, per_s: f64) -> Self {
        LimitModel {
            gauges: vec![LimitGauge::default(); routers],
            arrivals: ArrivalLog::default(),
            questions: 0,
            per_s,
        }
    }

    /// Lets all routers ask that do not pause; `share_of` tells whom and with which rank it answers.
    fn step(
        &mut self,
        now: ClockTime,
        shares: &mut [LimitShare],
        mut share_of: impl FnMut(usize) -> (usize, ShareRank),
    ) {
        for router in 0..self.gauges.len() {
            let gauge = &mut self.gauges[router];
            if gauge.paused_for_ms(now) > 0 {
                continue;
            }
            let (place, rank) = share_of(router);
            let known = gauge.in_force();
            let limit = known.unwrap_or(limit_at(now, Some(self.per_s)));
            self.questions += 1;
            match shares[place].try_take(now, &target(), limit, rank) {
                ShareReply::Granted => {
                    gauge.note_granted();
                    gauge.note(now, Some(self.per_s), now);
                    self.arrivals.note(now);
                }
                ShareReply::Wait { wait_ms } => gauge.note_refused(now, wait_ms),
                ShareReply::Free(limit) => gauge.take(limit),
            }
        }
    }
}

/// Guards against a sum of many routers that is more than the limit, and against one that leaves most of it unused.
#[test]
fn share_any_number_of_routers_keep_the_limit() {
    for routers in [1, 3, 8, 24, 195] {
        for per_s in [0.3, 1.0, 3.0, 11.0, 50.0] {
            let mut model = LimitModel::new(routers, per_s);
            let mut shares = [LimitShare::default()];
            for step in 0..6_000 {
                let now = START.plus_ms(step * STEP_MS);
                model.step(now, &mut shares, |_| (0, ShareRank::First));
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

/// Guards against places that add up while nobody asks, and are all used at once.
#[test]
fn share_calm_before_a_burst_keeps_the_limit() {
    for per_s in [0.3, 1.0, 5.0, 50.0] {
        let mut model = LimitModel::new(24, per_s);
        let mut shares = [LimitShare::default()];
        for step in 0..9_000 {
            let now = START.plus_ms(step * STEP_MS);
            // Twenty seconds of requests, twenty without.
            if step / 2_000 % 2 == 0 {
                model.step(now, &mut shares, |_| (0, ShareRank::First));
            }
        }
        let most = model.arrivals.most;
        assert!(most <= allowed(per_s), "{per_s}: {most}");
    }
}

/// Guards against hundreds of routers that ask one of them without end.
#[test]
fn share_refused_routers_ask_seldom() {
    let mut model = LimitModel::new(195, 1.0);
    let mut shares = [LimitShare::default()];
    for step in 0..6_000 {
        let now = START.plus_ms(step * STEP_MS);
        model.step(now, &mut shares, |_| (0, ShareRank::First));
    }
    // One of each router in two seconds.
    let questions = model.questions;
    assert!(questions <= 30 * 195, "{questions} questions in a minute");
}

/// Guards against two routers that both give out all places, while not everybody has heard of the newer one.
#[test]
fn share_of_a_router_that_joins_begins_slowly() {
    for (seed, per_s) in [(1, 1.0), (2, 5.0), (3, 20.0), (4, 0.5)] {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut model = LimitModel::new(24, per_s);
        let mut shares = vec![LimitShare::default(), LimitShare::default()];
        // Each router hears of the new one at a time of its own.
        let heard: Vec<u64> = (0..24)
            .map(|_| random.random_range(20_000..26_000))
            .collect();
        for step in 0..4_500 {
            let now = START.plus_ms(step * STEP_MS);
            model.step(now, &mut shares, |router| {
                let is_new = step * STEP_MS >= heard[router];
                (usize::from(is_new), ShareRank::First)
            });
        }
        let most = model.arrivals.most;
        assert!(most <= allowed(per_s), "{per_s}: {most}");
    }
}

/// Guards against routers that do not reach the one which gives out places, or reach it now and then, and together
/// with the others send too much.
#[test]
fn share_of_one_that_takes_the_place_of_another_is_smaller() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let per_s = [0.3, 1.0, 2.5, 10.0, 50.0][random.random_range(0..5)];
        let mut model = LimitModel::new(8, per_s);
        let mut shares = vec![LimitShare::default(), LimitShare::default()];
        let mut parted = vec![false; 8];
        for step in 0..6_000 {
            let now = START.plus_ms(step * STEP_MS);
            if random.random_bool(0.003) {
                parted = parted.iter().map(|_| random.random_bool(0.5)).collect();
            }
            model.step(now, &mut shares, |router| match parted[router] {
                false => (0, ShareRank::First),
                true => (1, ShareRank::StandIn),
            });
        }
        let most = model.arrivals.most;
        assert!(most <= allowed(per_s), "seed {seed}, {per_s}: {most}");
    }
}

/// Guards against a limit that outlives its end, or is forgotten when it changes.
#[test]
fn share_follows_what_was_heard_last() {
    let mut share = LimitShare::default();
    let first = limit_at(START, Some(1.0));
    let rank = ShareRank::First;
    assert!(matches!(
        share.try_take(START, &target(), first, rank),
        ShareReply::Wait { .. }
    ));
    let ended = limit_at(START.plus_ms(500), None);
    share.note(&target(), ended);
    let now = START.plus_ms(600);
    assert_eq!(
        share.try_take(now, &target(), first, rank),
        ShareReply::Free(ended)
    );
    let again = limit_at(START.plus_ms(700), Some(2.0));
    let now = START.plus_ms(700);
    assert!(matches!(
        share.try_take(now, &target(), again, rank),
        ShareReply::Wait { .. }
    ));
    // What another router heard before that changes nothing.
    assert!(matches!(
        share.try_take(now, &target(), ended, rank),
        ShareReply::Wait { .. }
    ));
}

/// Guards against a limit that ends since an older answer without one came late, and one that never ends.
#[test]
fn gauge_overtaken_answer_ends_no_limit() {
    let mut gauge = LimitGauge::default();
    assert!(!gauge.note(START, None, START));
    assert!(gauge.note(START.plus_ms(100), Some(3.0), START));
    assert!(!gauge.note(START.plus_ms(200), None, START.plus_ms(50)));
    assert!(gauge.in_force().is_some());
    assert_eq!(gauge.heard(), gauge.in_force(), "what others are told");
    gauge.note_refused(START.plus_ms(200), 900);
    assert!(gauge.paused_for_ms(START.plus_ms(200)) > 0);
    assert!(gauge.note(START.plus_ms(300), None, START.plus_ms(150)));
    assert!(gauge.in_force().is_none());
    assert_eq!(gauge.paused_for_ms(START.plus_ms(300)), 0);
}
