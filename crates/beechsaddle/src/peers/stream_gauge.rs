//! The `stream_gauge` module provides what is known and allowed of one connection.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use tokio::time::Instant;

/// How many unpacked bytes a connection may read until it has proven itself: the handshake takes
/// less than half.
const UNPROVEN_BYTES: usize = 4_096;

/// How much a connection may read while the other side takes nothing of what is written to it.
const BLOCKED_BYTES: usize = 256 * 1024;

/// What is known and allowed of one connection; both halves and the owner share it.
#[derive(Clone, Debug)]
pub struct StreamGauge {
    /// How much may still be read; `None` for any amount.
    allowance: Rc<Cell<Option<usize>>>,
    /// How much was read since a write has had to wait; `None` while none waits.
    blocked: Rc<Cell<Option<usize>>>,
    /// When something was last read.
    last_read: Rc<Cell<Instant>>,
}

impl StreamGauge {
    /// For the side that accepts: reads little until proven.
    pub fn unproven() -> Self {
        StreamGauge::with_allowance(Some(UNPROVEN_BYTES))
    }

    /// For the side that connects.
    pub fn unlimited() -> Self {
        StreamGauge::with_allowance(None)
    }

    fn with_allowance(allowance: Option<usize>) -> Self {
        StreamGauge {
            allowance: Rc::new(Cell::new(allowance)),
            blocked: Rc::new(Cell::new(None)),
            last_read: Rc::new(Cell::new(Instant::now())),
        }
    }

    /// The other side has proven itself.
    pub fn set_proven(&self) {
        self.allowance.set(None);
    }

    /// When something was last read.
    pub fn last_read(&self) -> Instant {
        self.last_read.get()
    }

    /// How much of a buffer may be read into: one byte over the allowance is enough to see that it
    /// is not kept.
    pub fn read_limit(&self, size: usize) -> usize {
        match self.allowance.get() {
            Some(allowance) => size.min(allowance + 1),
            None => size,
        }
    }

    /// Notes what was read; an error when it was too much.
    pub fn note_read(&self, size: usize) -> io::Result<()> {
        self.last_read.set(Instant::now());
        if let Some(allowance) = self.allowance.get() {
            // A stranger must not make the router hold or parse more than a handshake.
            let Some(rest) = allowance.checked_sub(size) else {
                return Err(io::Error::other("too many bytes before the proof"));
            };
            self.allowance.set(Some(rest));
        }
        if let Some(read) = self.blocked.get() {
            // Answers wait in an unbounded queue of the library. A peer that goes on calling without
            // reading its answers would fill the memory; it loses the connection instead.
            if read > BLOCKED_BYTES {
                return Err(io::Error::other("the peer calls without reading answers"));
            }
            self.blocked.set(Some(read + size));
        }
        Ok(())
    }

    /// Notes whether a write has to wait.
    pub fn note_write(&self, blocked: bool) {
        match (blocked, self.blocked.get()) {
            (true, None) => self.blocked.set(Some(0)),
            (true, Some(_)) => {}
            (false, _) => self.blocked.set(None),
        }
    }
}
