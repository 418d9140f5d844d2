//! The `raw_target` module provides targets that write and read plain bytes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

use super::WAIT_LIMIT;

/// A target that runs a script on one thread per connection.
pub struct RawTarget {
    pub address: SocketAddr,
    requests: Receiver<String>,
}

/// A connection opened by the router.
pub struct TargetConnection {
    pub stream: TcpStream,
    /// Index of the connection, from zero.
    pub index: usize,
    /// Number of requests read from it.
    pub requests: usize,
    report: std::sync::mpsc::Sender<String>,
}

impl RawTarget {
    /// Starts a target that runs `script` for each connection.
    pub fn start(script: impl Fn(&mut TargetConnection) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (report, requests) = channel();
        let script = std::sync::Arc::new(script);
        thread::spawn(move || {
            for (index, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { return };
                let _ = stream.set_nodelay(true);
                let report = report.clone();
                let script = script.clone();
                thread::spawn(move || {
                    script(&mut TargetConnection {
                        stream,
                        index,
                        requests: 0,
                        report,
                    });
                });
            }
        });
        RawTarget { address, requests }
    }

    /// Returns the next request that arrived.
    pub fn next_request(&self) -> String {
        self.requests.recv_timeout(WAIT_LIMIT).expect("a request")
    }

    /// Returns how many further requests arrived.
    pub fn more_requests(&self) -> usize {
        self.requests.try_iter().count()
    }
}

impl TargetConnection {
    /// Reads a request; `None` if the router closed the connection.
    pub fn read_request(&mut self) -> Option<String> {
        let mut bytes = Vec::new();
        let mut buffer = [0_u8; 4_096];
        loop {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            if let Some(offset) = text.find("\r\n\r\n") {
                let head = text[..offset].to_ascii_lowercase();
                let length = super::header(&head, "content-length")
                    .map_or(0, |length| length.parse().expect("a length"));
                if bytes.len() >= offset + 4 + length {
                    self.requests += 1;
                    let _ = self.report.send(text.clone());
                    return Some(text);
                }
            }
            match self.stream.read(&mut buffer) {
                Ok(0) | Err(_) => return None,
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            }
        }
    }

    /// Writes bytes; false if the router closed the connection.
    pub fn write(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        self.stream.write_all(bytes.as_ref()).is_ok()
    }

    /// Waits until the router closes the connection.
    pub fn await_close(&mut self) {
        let mut buffer = [0_u8; 4_096];
        while matches!(self.stream.read(&mut buffer), Ok(count) if count > 0) {}
    }

    /// Reports to the test that the connection was closed.
    pub fn report_closed(&mut self) {
        let _ = self.report.send("closed".to_owned());
    }

    /// Answers with a body of known length.
    pub fn answer(&mut self, status: &str, extra: &str, body: &str) -> bool {
        let length = body.len();
        self.write(format!(
            "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{extra}\r\n{body}"
        ))
    }

    pub fn start_chunked(&mut self, kind: &str) -> bool {
        self.write(format!(
            "HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\ntransfer-encoding: chunked\r\n\r\n"
        ))
    }

    pub fn chunk(&mut self, text: &str) -> bool {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()))
    }

    pub fn end_chunks(&mut self) -> bool {
        self.write("0\r\n\r\n")
    }
}

/// Returns the value of a header in a request sent by the router.
pub fn sent_header(request: &str, name: &str) -> Option<String> {
    super::header(&request.to_ascii_lowercase(), name).map(str::to_owned)
}

/// Returns the attempt id of a request.
pub fn sent_attempt(request: &str) -> String {
    sent_header(request, "beechsaddle-attempt").expect("an attempt")
}

/// Returns an event of a streamed chat with one token.
pub fn token_event(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
}

/// Returns the event with the usage.
pub fn usage_event(input: u64, output: u64) -> String {
    format!(
        "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":{input},\
         \"completion_tokens\":{output}}}}}\n\n"
    )
}

/// The event that ends a streamed chat.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Returns a complete chat answer.
pub fn chat_answer(input: u64, output: u64) -> String {
    format!(
        "{{\"choices\":[{{\"message\":{{\"content\":\"hi\"}}}}],\
         \"usage\":{{\"prompt_tokens\":{input},\"completion_tokens\":{output}}}}}"
    )
}
