//! The `peers_support` module provides edges between routers and a relay that can be paused between
//! them.

#![allow(dead_code)]

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use beechsaddle::peers::{PeerAuth, PeersCounts, PeersEdge, PeersHandle, PeersOptions};
use beechsaddle::report::{ReportEdge, ReportHandle, ReportOptions};
use beechsaddle_core::peer::{PeerHeartbeat, PeerMessage, RouterState};
use beechsaddle_core::prelude::*;
use crossbeam_channel::Receiver;

/// The fleet's secret in tests.
pub const SECRET: &str = "0123456789abcdef0123456789abcdef";

/// An edge and the events it sends to the core.
pub struct TestEdge {
    pub own_incarnation: RouterIncarnation,
    pub handle: PeersHandle,
    pub events: Receiver<CoreEvent>,
}

/// Returns options for tests: loopback, any port, short time limits.
pub fn options(secret: &str) -> PeersOptions {
    let auth = PeerAuth::try_new(secret).expect("long enough");
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut options = PeersOptions::new(listen, auth);
    options.connect_timeout_ms = 500;
    options.delivery_timeout_ms = 500;
    options.backoff_max_ms = 100;
    options
}

/// Starts a report edge that discards its output.
pub fn reports() -> ReportHandle {
    let options = ReportOptions::new("").with_writer(io::sink());
    ReportEdge::try_start(options).expect("starts").0
}

pub fn start(host: &str, epoch: u64, options: PeersOptions) -> TestEdge {
    start_with_ring(host, epoch, options, 100_000)
}

pub fn start_with_ring(host: &str, epoch: u64, options: PeersOptions, ring: usize) -> TestEdge {
    let own_incarnation = RouterIncarnation::new(host, epoch);
    let (sender, events) = crossbeam_channel::bounded(ring);
    let handle =
        PeersEdge::try_start(options, own_incarnation.clone(), sender, reports()).expect("starts");
    TestEdge {
        own_incarnation,
        handle,
        events,
    }
}

impl TestEdge {
    pub fn address(&self) -> String {
        self.handle.local_address().to_string()
    }

    pub fn send(&self, to: &TestEdge, message: PeerMessage) {
        self.handle
            .send(to.own_incarnation.clone(), to.address(), message);
    }

    /// Returns the next message, or fails after five seconds.
    pub fn receive(&self) -> (RouterIncarnation, PeerMessage) {
        match self.events.recv_timeout(Duration::from_secs(5)) {
            Ok(CoreEvent::Peer { from, message }) => (from, message),
            other => panic!("no message arrived: {other:?}; {:?}", self.handle.counts()),
        }
    }

    /// Waits until the counters meet a condition, or fails after five seconds.
    pub fn wait_for(&self, what: &str, is_met: impl Fn(&PeersCounts) -> bool) -> PeersCounts {
        let until = Instant::now() + Duration::from_secs(5);
        loop {
            let counts = self.handle.counts();
            if is_met(&counts) {
                return counts;
            }
            assert!(Instant::now() < until, "never {what}: {counts:?}");
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Returns a small message that is distinguished by its number.
pub fn settle_reply(number: u64) -> PeerMessage {
    PeerMessage::SettleReply { call: call(number) }
}

pub fn call(number: u64) -> CallId {
    CallId {
        router: RouterIncarnation::new("host-z", 1),
        number,
    }
}

pub fn heartbeat(sequence: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        domain: "graz-nord".into(),
        address: "127.0.0.1:4000".to_owned(),
        sequence,
        state: RouterState::Live,
        catalogue_revision: 3,
        layout: None,
        targets: Vec::new(),
        limits: Vec::new(),
        routers: Vec::new(),
    }
}

/// Relays bytes between two routers and can be paused, like a frozen host or a network partition:
/// connections stay open, and the kernel keeps accepting what fits into its buffers.
pub struct PausableRelay {
    pub address: SocketAddr,
    paused: Arc<AtomicBool>,
}

impl PausableRelay {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("bound");
        let paused = Arc::new(AtomicBool::new(false));
        let is_paused = Arc::clone(&paused);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let is_paused = Arc::clone(&is_paused);
                thread::spawn(move || relay(stream, target, &is_paused));
            }
        });
        PausableRelay { address, paused }
    }

    pub fn pause(&self) {
        self.paused.store(true, Ordering::SeqCst);
    }

    pub fn resume(&self) {
        self.paused.store(false, Ordering::SeqCst);
    }
}

fn relay(near: TcpStream, target: SocketAddr, paused: &Arc<AtomicBool>) {
    let Ok(far) = TcpStream::connect(target) else {
        return;
    };
    let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    let is_paused = Arc::clone(paused);
    let back = thread::spawn(move || copy_bytes(far_copy, near_copy, &is_paused));
    copy_bytes(near, far, paused);
    let _ = back.join();
}

fn copy_bytes(mut from: TcpStream, mut to: TcpStream, paused: &AtomicBool) {
    let mut buffer = [0; 4_096];
    while let Ok(size) = from.read(&mut buffer) {
        while paused.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        }
        if size == 0 || to.write_all(&buffer[..size]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
