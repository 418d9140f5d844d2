//! Callers that do not keep to the limits, and the resources that a router takes while they are connected.

#![allow(dead_code)]

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use beechsaddle_platform_stand_in::ConfigDraft;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::gateway_support::KEY;

/// Held by the test that runs: crowds take memory, ports and descriptors from each other.
static TURN: Mutex<()> = Mutex::const_new(());

/// How long callers of a crowd stay connected.
const CROWD_TIME: Duration = Duration::from_secs(4);

/// Size of one write of a caller, in bytes.
const PIECE_BYTES: usize = 16 * 1_024;

/// Maximum number of bytes that one caller sends.
const SENT_BYTES_MAX: usize = 4 * 1_024 * 1_024;

/// Pause between two samples of the router's resources.
const SAMPLE_PAUSE: Duration = Duration::from_millis(20);

/// Length that callers announce for bodies far over the limit, in bytes.
pub const FAR_BYTES: usize = 1_000_000_000;

/// What each caller of a crowd sends.
#[derive(Clone, Copy, Debug)]
pub enum CallerScript {
    /// A body of an announced length, of which so many bytes are sent.
    Body { announced: usize, sent: usize },
    /// A body in chunks without a last one.
    EndlessChunks,
    /// A head without an end, of which so many bytes are sent.
    Head { sent: usize },
    /// Nothing.
    Silence,
    /// A message to a router that announces its largest size, of which so many bytes are sent.
    PeerMessage { sent: usize },
    /// One whole request, whose answer is not read.
    UnreadAnswer,
    /// Whole requests, one behind the other, whose answers are not read.
    UnreadRequests,
}

impl CallerScript {
    /// Returns what is sent first, and the piece that is repeated until so many bytes are sent.
    fn bytes(self) -> (Vec<u8>, Vec<u8>, usize) {
        let filler = vec![b'a'; PIECE_BYTES];
        match self {
            CallerScript::Body { announced, sent } => {
                let length = format!("Content-Length: {announced}\r\n\r\n");
                (head("POST /get/1", &length), filler, sent)
            }
            CallerScript::EndlessChunks => {
                let coding = "Transfer-Encoding: chunked\r\n\r\n";
                let mut chunk = format!("{PIECE_BYTES:x}\r\n").into_bytes();
                chunk.extend(filler);
                chunk.extend(b"\r\n");
                (head("POST /get/1", coding), chunk, SENT_BYTES_MAX)
            }
            CallerScript::Head { sent } => (head("GET /get/1", "X-Long: "), filler, sent),
            CallerScript::PeerMessage { sent } => {
                // One segment, whose size is in words of 8 bytes.
                let segments = [0_u32, 512 * 1_024 - 1];
                let table = segments.iter().flat_map(|field| field.to_le_bytes());
                (table.collect(), filler, sent)
            }
            CallerScript::UnreadAnswer => {
                (head("GET /get/1", "Content-Length: 0\r\n\r\n"), filler, 0)
            }
            CallerScript::Silence => (Vec::new(), filler, 0),
            CallerScript::UnreadRequests => {
                let request = head("GET /get/1", "Content-Length: 0\r\n\r\n");
                (Vec::new(), request.repeat(64), SENT_BYTES_MAX)
            }
        }
    }
}

/// Returns the head of a call, up to its last header.
fn head(line: &str, last: &str) -> Vec<u8> {
    let host = ConfigDraft::HOST;
    let text = format!(
        "{line} HTTP/1.1\r\nHost: {host}\r\nX-Beechsaddle-Attempt-Id: hostile\r\n\
         Authorization: Token {KEY}\r\nX-Beechsaddle-Deadline-Ms: 20000\r\n{last}"
    );
    text.into_bytes()
}

/// Waits until no other test with a crowd runs.
pub async fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

/// Starts processes under a lower limit on open descriptors, as long as it is held.
pub struct LoweredDescriptors {
    soft: u64,
    hard: u64,
}

impl LoweredDescriptors {
    /// Lowers the limit of this process, which its children inherit.
    pub fn new(limit: u64) -> Self {
        let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("a limit");
        setrlimit(Resource::RLIMIT_NOFILE, limit, hard).expect("a lower limit");
        LoweredDescriptors { soft, hard }
    }
}

impl Drop for LoweredDescriptors {
    fn drop(&mut self) {
        setrlimit(Resource::RLIMIT_NOFILE, self.soft, self.hard).expect("the former limit");
    }
}

/// Callers that run the same script at the same time.
pub struct CallerCrowd {
    callers: JoinSet<()>,
}

impl CallerCrowd {
    /// Connects `count` callers.
    pub fn start(address: SocketAddr, count: usize, script: CallerScript) -> Self {
        let mut callers = JoinSet::new();
        for _ in 0..count {
            callers.spawn(run_caller(address, script));
        }
        CallerCrowd { callers }
    }

    /// Waits until all callers have left.
    pub async fn leave(mut self) {
        while let Some(left) = self.callers.join_next().await {
            left.expect("a caller that leaves");
        }
    }
}

/// Sends what a caller sends, and stays connected for the time of the crowd unless the router closes.
async fn run_caller(address: SocketAddr, script: CallerScript) {
    let staying = async {
        // Routers may refuse connections.
        let Ok(mut stream) = TcpStream::connect(address).await else {
            return;
        };
        if send(&mut stream, script).await.is_ok() {
            sleep(CROWD_TIME).await;
        }
    };
    // The crowd leaves together.
    let _ = timeout(CROWD_TIME, staying).await;
}

async fn send(stream: &mut TcpStream, script: CallerScript) -> std::io::Result<()> {
    let (first, piece, bytes) = script.bytes();
    stream.write_all(&first).await?;
    let mut left = bytes;
    while left > 0 {
        let count = piece.len().min(left);
        stream.write_all(&piece[..count]).await?;
        left -= count;
    }
    Ok(())
}

/// Sends a request whose body has `length` bytes, of which none is sent before the answer, and returns the
/// status; `None` without an answer.
pub async fn announced_status(address: SocketAddr, length: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let last = format!("Content-Length: {length}\r\n\r\n");
    stream.write_all(&head("POST /get/1", &last)).await.ok()?;
    let mut start = [0; 12];
    let reading = stream.read_exact(&mut start);
    timeout(CROWD_TIME, reading).await.ok()?.ok()?;
    String::from_utf8_lossy(&start[9..]).parse().ok()
}

/// The most that a process took while it was observed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourcePeak {
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Resident memory and what its callers sent and it has not read, in bytes.
    pub memory_bytes: u64,
    pub descriptors: usize,
}

impl ResourcePeak {
    /// Returns the memory with unread bytes, in mebibytes.
    pub fn memory_mb(&self) -> u64 {
        self.memory_bytes.div_ceil(1_024 * 1_024)
    }
}

/// Samples the resources of a process until it is finished.
pub struct ResourceSampler {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<ResourcePeak>,
}

impl ResourceSampler {
    /// Samples a process that listens on a port for callers.
    pub fn start(process_id: u32, port: u16) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let until = Arc::clone(&is_over);
        let thread = std::thread::spawn(move || {
            let mut peak = ResourcePeak::default();
            while !until.load(Ordering::Relaxed) {
                sample(process_id, port, &mut peak);
                std::thread::sleep(SAMPLE_PAUSE);
            }
            peak
        });
        ResourceSampler { is_over, thread }
    }

    /// Returns the most that was sampled.
    pub fn finish(self) -> ResourcePeak {
        self.is_over.store(true, Ordering::Relaxed);
        self.thread.join().expect("samples")
    }
}

fn sample(process_id: u32, port: u16, peak: &mut ResourcePeak) {
    let resident = resident_bytes(process_id);
    let descriptors = fs::read_dir(format!("/proc/{process_id}/fd"));
    let descriptors = descriptors.map_or(0, Iterator::count);
    peak.resident_bytes = peak.resident_bytes.max(resident);
    peak.memory_bytes = peak.memory_bytes.max(resident + unread_bytes(port));
    peak.descriptors = peak.descriptors.max(descriptors);
}

/// Returns the resident memory of a process, in bytes; 0 if it has ended.
pub fn resident_bytes(process_id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    kb.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) * 1_024
}

/// Returns the unread bytes of all connections to a port of this host.
fn unread_bytes(port: u16) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").expect("the connections");
    table
        .lines()
        .skip(1)
        .filter_map(|line| unread_of(line, port))
        .sum()
}

/// Reads a line of the table of connections, such as `3: 0100007F:1F90 0100007F:C350 01 00000000:00000010`:
/// local and remote address, state, bytes to send and unread bytes. A listener has the state `0A`.
fn unread_of(line: &str, port: u16) -> Option<u64> {
    let fields: Vec<_> = line.split_whitespace().collect();
    let [_, local, _, state, queues, ..] = fields[..] else {
        return None;
    };
    let (_, local_port) = local.rsplit_once(':')?;
    let is_connection = state != "0A" && u16::from_str_radix(local_port, 16) == Ok(port);
    let (_, unread) = queues.split_once(':')?;
    let unread = u64::from_str_radix(unread, 16).ok()?;
    is_connection.then_some(unread)
}
