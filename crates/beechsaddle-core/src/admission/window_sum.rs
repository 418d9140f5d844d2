//! The `window_sum` module provides sums over the recent past.

use crate::clock::ClockTime;

/// How many slots a window has; the sum is exact to one slot.
const SLOT_COUNT: usize = 10;

/// The sum of amounts over a sliding window.
#[derive(Clone, Debug)]
pub struct WindowSum {
    slot_ms: u64,
    slots: [u64; SLOT_COUNT],
    last_slot: u64,
}

impl WindowSum {
    /// An empty window over the last `span_ms` milliseconds.
    pub fn new(span_ms: u64) -> Self {
        WindowSum {
            slot_ms: (span_ms / SLOT_COUNT as u64).max(1),
            slots: [0; SLOT_COUNT],
            last_slot: 0,
        }
    }

    /// Adds an amount now.
    pub fn add(&mut self, now: ClockTime, amount: u64) {
        self.advance(now);
        let place = self.place_of(self.last_slot);
        self.slots[place] = self.slots[place].saturating_add(amount);
    }

    /// The sum.
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
            let place = self.place_of(slot - step);
            self.slots[place] = 0;
        }
        self.last_slot = slot;
    }

    fn place_of(&self, slot: u64) -> usize {
        (slot % SLOT_COUNT as u64) as usize
    }
}
