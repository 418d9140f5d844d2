//! The `tunnel_frame` module provides the heads of the frames in which a tunnel carries a target's
//! response.
//!
//! The operating system closes the connections of a process that ends, however it ends. Therefore
//! only a frame that says so is the end of a target's response, never the end of the connection to
//! the router that carries the tunnel.

use super::tunnel_copy::PART_BYTES;

/// Size of the head of a frame, in bytes.
pub(super) const HEAD_BYTES: usize = 4;

/// Maximum size of the data of a frame that is accepted, in bytes: several times that of the frames
/// that are sent.
const DATA_BYTES_MAX: u32 = 65_536;

// No run of equal bytes, which a fault could bring about, reads as a regular end.
const ENDED: u32 = 0x454E_4421;
const LOST: u32 = u32::MAX;

const _: () = assert!(PART_BYTES <= DATA_BYTES_MAX as usize);

/// The head of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FrameHead {
    /// The number of the target's bytes that follow.
    Data(u32),
    /// The target has closed its connection.
    Ended,
    /// The connection to the target broke, or what it sent is no answer.
    Lost,
}

impl FrameHead {
    /// Returns the encoded head.
    pub(super) fn to_bytes(self) -> [u8; HEAD_BYTES] {
        let number = match self {
            FrameHead::Data(bytes) => bytes,
            FrameHead::Ended => ENDED,
            FrameHead::Lost => LOST,
        };
        number.to_le_bytes()
    }

    /// Decodes a head; `None` if it is invalid.
    pub(super) fn read(bytes: [u8; HEAD_BYTES]) -> Option<Self> {
        match u32::from_le_bytes(bytes) {
            ENDED => Some(FrameHead::Ended),
            LOST => Some(FrameHead::Lost),
            bytes @ 1..=DATA_BYTES_MAX => Some(FrameHead::Data(bytes)),
            _ => None,
        }
    }
}
