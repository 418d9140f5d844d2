//! The `accept_loop` module provides the connections that peers open.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::names::RouterIncarnation;
use beechsaddle_wire::peer::reader_options;
use beechsaddle_wire::peer_capnp::peer_gate;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::task::AbortOnDropHandle;

use super::edge_context::EdgeContext;
use super::gate_server::{GateServer, GateState};
use super::metered_stream::split_metered;
use super::stream_gauge::StreamGauge;

/// How long to wait after the system could not accept a connection, as when files ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// How long a refused peer has to read why.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);

/// Serves the calls of one connection; ends it when dropped.
type RpcTask = AbortOnDropHandle<Result<(), capnp::Error>>;

/// Takes the connections that peers open.
pub(super) struct AcceptLoop {
    context: Rc<EdgeContext>,
    unproven: Cell<usize>,
    proven: RefCell<BTreeMap<RouterIncarnation, Rc<Notify>>>,
}

impl AcceptLoop {
    /// No connections.
    pub(super) fn new(context: Rc<EdgeContext>) -> Rc<Self> {
        Rc::new(AcceptLoop {
            context,
            unproven: Cell::new(0),
            proven: RefCell::new(BTreeMap::new()),
        })
    }

    /// Accepts for ever.
    pub(super) async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => self.take(stream, address),
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn take(self: &Rc<Self>, stream: TcpStream, address: SocketAddr) {
        // Strangers that connect and say nothing must not use up the router's files and memory.
        if self.unproven.get() >= self.context.options.unproven_max {
            self.context
                .refuse(address.to_string(), "too_many_unproven");
            return;
        }
        self.unproven.set(self.unproven.get() + 1);
        let accept_loop = Rc::clone(self);
        spawn_local(async move { accept_loop.serve(stream, address).await });
    }

    async fn serve(&self, stream: TcpStream, address: SocketAddr) {
        let gauge = StreamGauge::unproven();
        let (gate, states) = GateServer::new(Rc::clone(&self.context), gauge.clone());
        let mut rpc = start_rpc(stream, &gauge, gate, &self.context);
        let outcome = self.wait_for_proof(&mut rpc, states).await;
        self.unproven.set(self.unproven.get() - 1);
        match outcome {
            Ok(peer) => self.serve_proven(&mut rpc, &peer, &gauge).await,
            Err(reason) => self.context.refuse(address.to_string(), reason),
        }
    }

    async fn wait_for_proof(
        &self,
        rpc: &mut RpcTask,
        mut states: watch::Receiver<GateState>,
    ) -> Result<RouterIncarnation, &'static str> {
        let span = Duration::from_millis(self.context.options.connect_timeout_ms);
        let deadline = Instant::now() + span;
        loop {
            let state = states.borrow_and_update().clone();
            match state {
                GateState::Proven(peer) => return Ok(peer),
                GateState::Refused(reason) => {
                    let _ = timeout(REFUSAL_PAUSE, &mut *rpc).await;
                    return Err(reason);
                }
                GateState::Open | GateState::Challenged { .. } => {}
            }
            tokio::select! {
                _ = &mut *rpc => return Err("closed_without_proof"),
                _ = states.changed() => {}
                () = sleep_until(deadline) => return Err("no_proof_in_time"),
            }
        }
    }

    async fn serve_proven(&self, rpc: &mut RpcTask, peer: &RouterIncarnation, gauge: &StreamGauge) {
        let Some(replaced) = self.admit(peer) else {
            self.context.refuse(peer.to_string(), "too_many_peers");
            return;
        };
        // A peer whose host lost power says nothing more and never closes. It sends heartbeats and
        // closes idle connections itself long before twice the idle time.
        let silence = Duration::from_millis(self.context.options.idle_ms) * 2;
        loop {
            let silent_at = gauge.last_read() + silence;
            tokio::select! {
                _ = &mut *rpc => break,
                () = replaced.notified() => break,
                () = sleep_until(silent_at) => {
                    if gauge.last_read() + silence <= Instant::now() {
                        break;
                    }
                }
            }
        }
        self.forget(peer, &replaced);
    }

    // A peer that reconnects has given up its old connection, also when this side has not seen it
    // break yet. The old one is closed, so that each peer has one connection at most.
    fn admit(&self, peer: &RouterIncarnation) -> Option<Rc<Notify>> {
        let mut proven = self.proven.borrow_mut();
        let is_known = proven.contains_key(peer);
        if !is_known && proven.len() >= self.context.options.accepted_max {
            return None;
        }
        let replaced = Rc::new(Notify::new());
        if let Some(old) = proven.insert(peer.clone(), Rc::clone(&replaced)) {
            old.notify_one();
        }
        Some(replaced)
    }

    fn forget(&self, peer: &RouterIncarnation, replaced: &Rc<Notify>) {
        let mut proven = self.proven.borrow_mut();
        let is_own = proven
            .get(peer)
            .is_some_and(|current| Rc::ptr_eq(current, replaced));
        if is_own {
            proven.remove(peer);
        }
    }
}

fn start_rpc(
    stream: TcpStream,
    gauge: &StreamGauge,
    gate: GateServer,
    context: &EdgeContext,
) -> RpcTask {
    // Without it an answer could wait for the acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = split_metered(stream, gauge, &context.stats);
    let network = VatNetwork::new(reader, writer, Side::Server, reader_options());
    let gate: peer_gate::Client = capnp_rpc::new_client(gate);
    let system = RpcSystem::new(Box::new(network), Some(gate.client));
    AbortOnDropHandle::new(spawn_local(system))
}
