//! The `retries` module provides the experiment that counts attempts when targets fail.

use beechsaddle_core::admission::{FailedAttempt, RetryDecision, RetryOptions, RetryPolicy};
use beechsaddle_core::call::AttemptFailure;
use beechsaddle_core::clock::ClockTime;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The measured failure rates of attempts, in percent.
const FAILING_PERCENT: [u32; 5] = [0, 1, 10, 50, 100];

/// Number of calls, one every ten milliseconds.
const CALLS: u64 = 60_000;

/// Retries of each call by the fixed-count policy.
const FIXED_RETRIES: u32 = 3;

/// The results of one policy.
#[derive(Clone, Copy, Debug, Default)]
struct RetryFigures {
    attempts: u64,
    answered: u64,
}

impl RetryFigures {
    fn line(self, policy: &str, failing_percent: u32) -> String {
        format!(
            "policy={policy} failing_percent={failing_percent} calls={CALLS} \
             attempts_per_call={:.3} answered_share={:.4}",
            self.attempts as f64 / CALLS as f64,
            self.answered as f64 / CALLS as f64,
        )
    }
}

/// Runs the retry budget and a policy with a fixed number of retries at each failure rate.
pub fn run(seed: u64) -> Vec<String> {
    let mut lines = Vec::new();
    for failing_percent in FAILING_PERCENT {
        let budget = run_budget(seed, failing_percent);
        lines.push(budget.line("budget", failing_percent));
        let fixed = run_fixed(seed, failing_percent);
        lines.push(fixed.line("plain_x3", failing_percent));
    }
    lines
}

fn run_budget(seed: u64, failing_percent: u32) -> RetryFigures {
    let mut policy = RetryPolicy::new(RetryOptions::default(), seed);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut figures = RetryFigures::default();
    for call in 0..CALLS {
        let now = ClockTime::from_millis(call * 10);
        policy.requested(now);
        let mut attempt = FailedAttempt {
            failure: AttemptFailure::ServerError,
            repeatable: true,
            first_byte_sent: false,
            attempts: 1,
            may_have_run: false,
            deadline: None,
            first_byte_ms: 0,
        };
        loop {
            figures.attempts += 1;
            if random.random_range(0..100) >= failing_percent {
                figures.answered += 1;
                break;
            }
            if policy.decide(now, &attempt) != RetryDecision::Retry {
                break;
            }
            attempt.attempts += 1;
        }
    }
    figures
}

fn run_fixed(seed: u64, failing_percent: u32) -> RetryFigures {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut figures = RetryFigures::default();
    for _ in 0..CALLS {
        for _ in 0..=FIXED_RETRIES {
            figures.attempts += 1;
            if random.random_range(0..100) >= failing_percent {
                figures.answered += 1;
                break;
            }
        }
    }
    figures
}
