//! The `call_mix` module provides calls as workspaces make them: conversations that grow behind
//! shared instructions.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine_model::BLOCK_TOKENS;
use super::routing_call::RoutingCall;
use super::trial_setup::TrialSetup;

/// The mean pause between two turns of a conversation, in milliseconds.
const PAUSE_MS: f64 = 8_000.0;

/// Draws the calls of a trial.
#[derive(Debug)]
pub struct CallMix {
    random: ChaCha8Rng,
    routers: usize,
    workspaces: usize,
    next_block: u64,
}

impl CallMix {
    /// A mix; equal seeds give equal calls.
    pub fn new(setup: &TrialSetup) -> Self {
        CallMix {
            random: ChaCha8Rng::seed_from_u64(setup.seed),
            routers: setup.routers,
            workspaces: setup.workspaces,
            next_block: setup.seed << 40,
        }
    }

    /// The calls of `span_ms` milliseconds in the order of arrival, `rate` a second once the
    /// conversations have built up.
    pub fn draw(&mut self, span_ms: f64, rate: f64) -> Vec<RoutingCall> {
        let instructions: Vec<Vec<u64>> = (0..self.workspaces)
            .map(|_| {
                let count = self.random.random_range(4..=20);
                self.blocks(count)
            })
            .collect();
        let mut calls = Vec::new();
        let mut now_ms = 0.0;
        // A conversation has three and a half turns in the mean.
        let begin_rate = rate / 3.5;
        while now_ms < span_ms {
            now_ms += self.exponential(1_000.0 / begin_rate);
            let workspace = self.workspace();
            self.converse(now_ms, span_ms, instructions[workspace].clone(), &mut calls);
        }
        calls.sort_by(|left, right| left.arrives_ms.total_cmp(&right.arrives_ms));
        calls
    }

    fn converse(
        &mut self,
        begin_ms: f64,
        span_ms: f64,
        mut prefix: Vec<u64>,
        calls: &mut Vec<RoutingCall>,
    ) {
        let turns = self.random.random_range(1..=6);
        let mut now_ms = begin_ms;
        for _ in 0..turns {
            let message = self.random.random_range(1..=12);
            prefix.extend(self.blocks(message));
            let output_tokens = (self.exponential(120.0) as u64).clamp(4, 1_000);
            if now_ms < span_ms {
                calls.push(RoutingCall {
                    arrives_ms: now_ms,
                    router: self.random.random_range(0..self.routers),
                    prompt_tokens: prefix.len() as u64 * BLOCK_TOKENS
                        + self.random.random_range(1..BLOCK_TOKENS),
                    prefix: prefix.clone(),
                    output_tokens,
                });
            }
            // The answer is part of the next prompt.
            let answer = (output_tokens / BLOCK_TOKENS) as usize;
            prefix.extend(self.blocks(answer));
            now_ms += self.exponential(PAUSE_MS) + 2_000.0;
        }
    }

    /// A few workspaces make most of the calls: half of them come from a seventh.
    fn workspace(&mut self) -> usize {
        let draw = self.exponential(self.workspaces as f64 / 5.0) as usize;
        draw.min(self.workspaces - 1)
    }

    fn blocks(&mut self, count: usize) -> Vec<u64> {
        (0..count)
            .map(|_| {
                self.next_block += 1;
                self.next_block
            })
            .collect()
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let unit: f64 = self.random.random_range(f64::EPSILON..1.0);
        -unit.ln() * mean
    }
}
