//! The `window_sum` module provides sums over a sliding window.

use crate::clock::ClockTime;

/// The number of slots per window; the sum is accurate to one slot.
const SLOT_COUNT: usize = 10;

/// The sum of amounts over a sliding window.
#[derive(Clone, Debug)]
pub struct WindowSum {
    slot_ms: u64,
    slots: [u64; SLOT_COUNT],
    last_slot: u64,
}

impl WindowSum {
    /// Creates an empty window over the last `span_ms` milliseconds.
    pub fn new(span_ms: u64) -> Self {
        WindowSum {
            slot_ms: (span_ms / SLOT_COUNT as u64).max(1),
            slots: [0; SLOT_COUNT],
            last_slot: 0,
        }
    }

    pub fn add(&mut self, now: ClockTime, amount: u64) {
        self.advance(now);
        let index = self.index_of(self.last_slot);
        self.slots[index] = self.slots[index].saturating_add(amount);
    }

    /// The sum over the window that ends now.
    pub fn sum(&mut self, now: ClockTime) -> u64 {
        self.advance(now);
        self.slots.iter().sum()
    }

    fn advance(&mut self, now: ClockTime) {
        let slot = now.as_millis() / self.slot_ms;
        if slot <= self.last_slot {
            return;
        }
        let passed = (slot - self.last_slot).min(SLOT_COUNT as u64);
        for step in 0..passed {
            let index = self.index_of(slot - step);
            self.slots[index] = 0;
        }
        self.last_slot = slot;
    }

    fn index_of(&self, slot: u64) -> usize {
        (slot % SLOT_COUNT as u64) as usize
    }
}
