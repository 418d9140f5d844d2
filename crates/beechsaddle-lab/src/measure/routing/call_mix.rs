//! The `call_mix` module provides the workload: growing conversations that share the instructions
//! of their workspace as a prefix.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine_model::BLOCK_TOKENS;
use super::routing_call::RoutingCall;
use super::trial_setup::TrialSetup;

/// The mean pause between two turns of a conversation, in milliseconds, beyond the minimum of 2 s.
const PAUSE_MS: f64 = 8_000.0;

/// Generates the calls of a run.
#[derive(Debug)]
pub struct CallMix {
    random: ChaCha8Rng,
    routers: usize,
    workspaces: usize,
    next_block: u64,
}

impl CallMix {
    /// Creates a generator; equal seeds give equal calls.
    pub fn new(setup: &TrialSetup) -> Self {
        CallMix {
            random: ChaCha8Rng::seed_from_u64(setup.seed),
            routers: setup.routers,
            workspaces: setup.workspaces,
            next_block: setup.seed << 40,
        }
    }

    /// Returns the calls of `span_ms` milliseconds in order of arrival, at `rate` calls per second
    /// once the number of conversations is steady.
    pub fn draw(&mut self, span_ms: f64, rate: f64) -> Vec<RoutingCall> {
        let instructions: Vec<Vec<u64>> = (0..self.workspaces)
            .map(|_| {
                let count = self.random.random_range(4..=20);
                self.new_blocks(count)
            })
            .collect();
        let mut calls = Vec::new();
        let mut now_ms = 0.0;
        // A conversation has 3.5 turns on average.
        let begin_rate = rate / 3.5;
        while now_ms < span_ms {
            now_ms += self.exponential(1_000.0 / begin_rate);
            let workspace = self.draw_workspace();
            self.add_conversation(now_ms, span_ms, instructions[workspace].clone(), &mut calls);
        }
        calls.sort_by(|left, right| left.arrives_ms.total_cmp(&right.arrives_ms));
        calls
    }

    fn add_conversation(
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
            prefix.extend(self.new_blocks(message));
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
            // The response is part of the next prompt.
            let answer = (output_tokens / BLOCK_TOKENS) as usize;
            prefix.extend(self.new_blocks(answer));
            now_ms += self.exponential(PAUSE_MS) + 2_000.0;
        }
    }

    /// Draws a workspace from a skewed distribution: a seventh of them makes half of the calls.
    fn draw_workspace(&mut self) -> usize {
        let draw = self.exponential(self.workspaces as f64 / 5.0) as usize;
        draw.min(self.workspaces - 1)
    }

    fn new_blocks(&mut self, count: usize) -> Vec<u64> {
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
