//! The `unproven_reader` module provides a limit on the messages of peers that have not shown the fleet's
//! secret.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, ReadBuf};

use super::connection_ring::ProofMark;

/// Size up to which a message needs no memory of the others, in bytes: most first messages of routers. Large
/// ones thus keep no router out.
const SMALL_MESSAGE_BYTES: u64 = 4_096;

/// Maximum number of segments of a message that is read, as of the library.
const SEGMENTS_MAX: usize = 512;

/// Size of a word of a message, in bytes.
const WORD_BYTES: usize = 8;

/// The memory of messages of all peers that have not shown the fleet's secret.
#[derive(Debug)]
pub(super) struct UnprovenMemory {
    max_bytes: u64,
    used_bytes: Cell<u64>,
}

impl UnprovenMemory {
    /// Creates a limit of `max_bytes`.
    pub(super) fn new(max_bytes: u64) -> Self {
        UnprovenMemory {
            max_bytes,
            used_bytes: Cell::new(0),
        }
    }
}

/// A reader of messages that fails when a peer without a proof announces one for which there is no memory.
///
/// A message is allocated with the size that it announces. A crowd of peers that are no routers would make
/// the process allocate as many of the largest size as there are connections.
pub(super) struct UnprovenReader<R> {
    reader: R,
    mark: ProofMark,
    meter: FrameMeter,
}

impl<R> UnprovenReader<R> {
    /// Wraps a reader whose messages are counted until `mark` is set.
    pub(super) fn new(reader: R, mark: ProofMark, memory: Rc<UnprovenMemory>) -> Self {
        UnprovenReader {
            reader,
            mark,
            meter: FrameMeter {
                table: Vec::new(),
                rest_bytes: 0,
                memory,
                held_bytes: 0,
            },
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for UnprovenReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.reader).poll_read(context, buffer))?;
        match self.mark.get() {
            true => self.meter.release(),
            false => self.meter.record(&buffer.filled()[filled..])?,
        }
        Poll::Ready(Ok(()))
    }
}

/// Reads the sizes of messages from their segment tables, and holds memory for the largest one.
struct FrameMeter {
    /// The part of a segment table that was read.
    table: Vec<u8>,
    /// The rest of the message after its table, in bytes.
    rest_bytes: u64,
    memory: Rc<UnprovenMemory>,
    held_bytes: u64,
}

impl FrameMeter {
    fn record(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            if self.rest_bytes > 0 {
                let count = self.rest_bytes.min(bytes.len() as u64);
                self.rest_bytes -= count;
                bytes = &bytes[count as usize..];
                continue;
            }
            let missing = table_bytes(&self.table)? - self.table.len();
            let (part, rest) = bytes.split_at(missing.min(bytes.len()));
            self.table.extend_from_slice(part);
            bytes = rest;
            if self.table.len() == table_bytes(&self.table)? {
                self.rest_bytes = message_bytes(&self.table);
                self.table.clear();
                self.hold(self.rest_bytes)?;
            }
        }
        Ok(())
    }

    /// Holds memory for a message, unless it is small or a larger one was held before.
    fn hold(&mut self, bytes: u64) -> io::Result<()> {
        if bytes <= SMALL_MESSAGE_BYTES || bytes <= self.held_bytes {
            return Ok(());
        }
        let used_bytes = self.memory.used_bytes.get() - self.held_bytes;
        if used_bytes.saturating_add(bytes) > self.memory.max_bytes {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        self.memory.used_bytes.set(used_bytes + bytes);
        self.held_bytes = bytes;
        Ok(())
    }

    fn release(&mut self) {
        let used_bytes = self.memory.used_bytes.get();
        self.memory.used_bytes.set(used_bytes - self.held_bytes);
        self.held_bytes = 0;
    }
}

impl Drop for FrameMeter {
    fn drop(&mut self) {
        self.release();
    }
}

/// Returns the size of a segment table of which a part was read: the number of segments, less one, and their
/// sizes in words, each in four bytes, padded to a word.
fn table_bytes(table: &[u8]) -> io::Result<usize> {
    let Some(last) = table.first_chunk() else {
        return Ok(WORD_BYTES);
    };
    let last = u32::from_le_bytes(*last) as usize;
    match last < SEGMENTS_MAX {
        true => Ok(((last + 2) * 4).next_multiple_of(WORD_BYTES)),
        false => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// Returns the size of the message behind a whole segment table, in bytes.
fn message_bytes(table: &[u8]) -> u64 {
    let fields = table.chunks_exact(4).map(|field| match field {
        [a, b, c, d] => u32::from_le_bytes([*a, *b, *c, *d]),
        _ => 0,
    });
    let mut fields = fields.map(u64::from);
    let last = fields.next().unwrap_or(0) as usize;
    let words: u64 = fields.take(last + 1).sum();
    words * WORD_BYTES as u64
}
