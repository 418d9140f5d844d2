//! The `stream_meter` module provides the read limits and activity of one connection.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use tokio::time::Instant;

/// Maximum number of unpacked bytes read from an unauthenticated connection: the handshake takes
/// less than half.
const UNAUTHENTICATED_READ_BYTES: usize = 4_096;

/// Maximum number of bytes read while the peer accepts none of the bytes written to it.
const BLOCKED_READ_BYTES: usize = 256 * 1024;

/// Read limits and activity of one connection, shared by both halves and the owner.
#[derive(Clone, Debug)]
pub struct StreamMeter {
    /// Number of bytes that may still be read; `None` for no limit.
    allowance: Rc<Cell<Option<usize>>>,
    /// Number of bytes read since a write became blocked; `None` while no write is blocked.
    blocked: Rc<Cell<Option<usize>>>,
    /// Time of the last read.
    last_read: Rc<Cell<Instant>>,
}

impl StreamMeter {
    /// Creates a meter for an accepted connection, with a read limit until it is authenticated.
    pub fn unauthenticated() -> Self {
        StreamMeter::with_allowance(Some(UNAUTHENTICATED_READ_BYTES))
    }

    /// Creates a meter without a read limit, for an opened connection.
    pub fn unlimited() -> Self {
        StreamMeter::with_allowance(None)
    }

    fn with_allowance(allowance: Option<usize>) -> Self {
        StreamMeter {
            allowance: Rc::new(Cell::new(allowance)),
            blocked: Rc::new(Cell::new(None)),
            last_read: Rc::new(Cell::new(Instant::now())),
        }
    }

    /// Removes the read limit after the peer was authenticated.
    pub fn set_authenticated(&self) {
        self.allowance.set(None);
    }

    /// Time of the last read.
    pub fn last_read(&self) -> Instant {
        self.last_read.get()
    }

    /// Number of bytes of a buffer that may be filled: one byte over the allowance is enough to
    /// detect that it is exceeded.
    pub fn read_limit(&self, size: usize) -> usize {
        match self.allowance.get() {
            Some(allowance) => size.min(allowance + 1),
            None => size,
        }
    }

    /// Records a read; returns an error if a limit is exceeded.
    pub fn record_read(&self, size: usize) -> io::Result<()> {
        self.last_read.set(Instant::now());
        if let Some(allowance) = self.allowance.get() {
            // An unauthenticated client must not make the router buffer or parse more than a
            // handshake.
            let Some(remaining) = allowance.checked_sub(size) else {
                return Err(io::Error::other(
                    "peer sent too many bytes before authentication",
                ));
            };
            self.allowance.set(Some(remaining));
        }
        if let Some(read) = self.blocked.get() {
            // Answers wait in an unbounded queue of the library. A peer that keeps calling without
            // reading its answers would fill the memory, so its connection is closed.
            if read > BLOCKED_READ_BYTES {
                return Err(io::Error::other(
                    "peer sends calls without reading the answers",
                ));
            }
            self.blocked.set(Some(read + size));
        }
        Ok(())
    }

    /// Records whether a write is blocked.
    pub fn record_write(&self, blocked: bool) {
        match (blocked, self.blocked.get()) {
            (true, None) => self.blocked.set(Some(0)),
            (true, Some(_)) => {}
            (false, _) => self.blocked.set(None),
        }
    }
}
