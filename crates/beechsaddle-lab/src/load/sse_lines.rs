//! The `sse_lines` module provides a parser of the data lines of server-sent events.

/// Splits received bytes into lines and returns the payload of each `data:` line.
#[derive(Debug, Default)]
pub struct SseLines {
    pending: Vec<u8>,
}

impl SseLines {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the payload of the next complete `data:` line.
    pub fn next_data(&mut self) -> Option<String> {
        loop {
            let end = self.pending.iter().position(|byte| *byte == b'\n')?;
            let line: Vec<u8> = self.pending.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(payload) = line.trim_end().strip_prefix("data:") {
                return Some(payload.trim_start().to_owned());
            }
        }
    }
}
