//! The `raw_caller` module provides callers that write and read plain bytes.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use super::WAIT_LIMIT;

/// A caller's connection.
pub struct RawCaller {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

/// An answer that was read to its end.
#[derive(Debug)]
pub struct RawAnswer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// How a connection ended.
#[derive(Debug, PartialEq, Eq)]
pub enum RawEnd {
    Closed,
    Reset,
    Open,
}

/// Returns the head of a chat call.
pub fn chat_head(extra: &str, length: usize) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\nauthorization: Bearer key-1\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n{extra}\r\n"
    )
}

/// Returns a chat call with one message.
pub fn chat_call(extra: &str, stream: bool) -> String {
    let body = format!(
        "{{\"model\":\"m1\",\"stream\":{stream},\"max_tokens\":9,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}"
    );
    chat_head(extra, body.len()) + &body
}

/// Returns a call to the plain service `desk`.
pub fn plain_call(method: &str, path: &str, extra: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} /svc/desk{path} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer key-1\r\n\
         content-length: {length}\r\n{extra}\r\n{body}"
    )
}

impl RawCaller {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the router accepts");
        stream
            .set_read_timeout(Some(WAIT_LIMIT))
            .expect("a timeout");
        RawCaller {
            stream,
            unread: Vec::new(),
        }
    }

    /// Connects and sends `request`.
    pub fn send(address: SocketAddr, request: impl AsRef<[u8]>) -> Self {
        let mut caller = RawCaller::connect(address);
        caller.write(request);
        caller
    }

    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream
            .write_all(bytes.as_ref())
            .expect("the router reads");
    }

    /// Reads until `mark` and returns everything up to its end.
    pub fn read_until(&mut self, mark: &str) -> String {
        let mut buffer = [0_u8; 4_096];
        loop {
            let text = String::from_utf8_lossy(&self.unread).into_owned();
            if let Some(offset) = text.find(mark) {
                let end = offset + mark.len();
                self.unread.drain(..end);
                return text[..end].to_owned();
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => panic!("closed before {mark:?}; read {text:?}"),
                Ok(count) => self.unread.extend_from_slice(&buffer[..count]),
                Err(error) => panic!("{error} before {mark:?}; read {text:?}"),
            }
        }
    }

    fn read_exactly(&mut self, length: usize) -> String {
        let mut buffer = [0_u8; 4_096];
        while self.unread.len() < length {
            let count = self.stream.read(&mut buffer).expect("more bytes arrive");
            assert!(count > 0, "closed within a body");
            self.unread.extend_from_slice(&buffer[..count]);
        }
        let bytes: Vec<u8> = self.unread.drain(..length).collect();
        String::from_utf8(bytes).expect("text")
    }

    /// Reads one answer, chunked or with a known length.
    pub fn read_answer(&mut self) -> RawAnswer {
        let head = self.read_until("\r\n\r\n").to_ascii_lowercase();
        let status = head[9..12].parse().expect("a status");
        let body = match header(&head, "content-length") {
            Some(length) => self.read_exactly(length.parse().expect("a length")),
            None if head.contains("transfer-encoding: chunked") => self.read_chunks(),
            None => String::new(),
        };
        RawAnswer { status, head, body }
    }

    fn read_chunks(&mut self) -> String {
        let mut body = String::new();
        loop {
            let line = self.read_until("\r\n");
            let length = usize::from_str_radix(line.trim(), 16).expect("a chunk's length");
            let chunk = self.read_exactly(length + 2);
            if length == 0 {
                return body;
            }
            body.push_str(&chunk[..length]);
        }
    }

    /// Reads the remaining data and returns it with the way the connection ended.
    pub fn read_end(&mut self) -> (String, RawEnd) {
        let mut buffer = [0_u8; 4_096];
        let end = loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => break RawEnd::Closed,
                Ok(count) => self.unread.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::ConnectionReset => break RawEnd::Reset,
                Err(_) => break RawEnd::Open,
            }
        };
        let text = String::from_utf8_lossy(&self.unread).into_owned();
        self.unread.clear();
        (text, end)
    }

    pub fn hang_up(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Returns the value of a header in a lower-case head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Sends one request on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, request: impl AsRef<[u8]>) -> RawAnswer {
    RawCaller::send(address, request).read_answer()
}
