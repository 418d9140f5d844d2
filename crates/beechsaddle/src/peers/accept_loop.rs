//! The `accept_loop` module provides the connections opened by peers.

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
use super::stream_meter::StreamMeter;

/// Delay after a failed accept, for example when file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time that a refused peer has to read the reason.
const REFUSAL_LINGER: Duration = Duration::from_millis(50);

/// Serves the calls of one connection; ends it when dropped.
type RpcTask = AbortOnDropHandle<Result<(), capnp::Error>>;

/// Accepts and serves the connections opened by peers.
pub(super) struct AcceptLoop {
    context: Rc<EdgeContext>,
    unauthenticated: Cell<usize>,
    authenticated: RefCell<BTreeMap<RouterIncarnation, Rc<Notify>>>,
}

impl AcceptLoop {
    /// Creates a loop without connections.
    pub(super) fn new(context: Rc<EdgeContext>) -> Rc<Self> {
        Rc::new(AcceptLoop {
            context,
            unauthenticated: Cell::new(0),
            authenticated: RefCell::new(BTreeMap::new()),
        })
    }

    /// Accepts connections until the task is aborted.
    pub(super) async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => self.take(stream, address),
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    fn take(self: &Rc<Self>, stream: TcpStream, address: SocketAddr) {
        // Unauthenticated clients that connect and send nothing must not use up file descriptors
        // and memory.
        if self.unauthenticated.get() >= self.context.options.unauthenticated_max {
            self.context
                .refuse(address.to_string(), "too_many_unproven");
            return;
        }
        self.unauthenticated.set(self.unauthenticated.get() + 1);
        let accept_loop = Rc::clone(self);
        spawn_local(async move { accept_loop.serve(stream, address).await });
    }

    async fn serve(&self, stream: TcpStream, address: SocketAddr) {
        let meter = StreamMeter::unauthenticated();
        let (gate, states) = GateServer::new(Rc::clone(&self.context), meter.clone());
        let mut rpc = start_rpc(stream, &meter, gate, &self.context);
        let outcome = self.wait_for_authentication(&mut rpc, states).await;
        self.unauthenticated.set(self.unauthenticated.get() - 1);
        match outcome {
            Ok(peer) => self.serve_authenticated(&mut rpc, &peer, &meter).await,
            Err(reason) => self.context.refuse(address.to_string(), reason),
        }
    }

    async fn wait_for_authentication(
        &self,
        rpc: &mut RpcTask,
        mut states: watch::Receiver<GateState>,
    ) -> Result<RouterIncarnation, &'static str> {
        let span = Duration::from_millis(self.context.options.connect_timeout_ms);
        let deadline = Instant::now() + span;
        loop {
            let state = states.borrow_and_update().clone();
            match state {
                GateState::Authenticated(peer) => return Ok(peer),
                GateState::Refused(reason) => {
                    let _ = timeout(REFUSAL_LINGER, &mut *rpc).await;
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

    async fn serve_authenticated(
        &self,
        rpc: &mut RpcTask,
        peer: &RouterIncarnation,
        meter: &StreamMeter,
    ) {
        let Some(replaced) = self.admit(peer) else {
            self.context.refuse(peer.to_string(), "too_many_peers");
            return;
        };
        // A peer whose host lost power sends nothing more and never closes. A live peer sends
        // heartbeats, and closes idle connections itself long before twice the idle time.
        let silence = Duration::from_millis(self.context.options.idle_ms) * 2;
        loop {
            let silent_at = meter.last_read() + silence;
            tokio::select! {
                _ = &mut *rpc => break,
                () = replaced.notified() => break,
                () = sleep_until(silent_at) => {
                    if meter.last_read() + silence <= Instant::now() {
                        break;
                    }
                }
            }
        }
        self.remove_connection(peer, &replaced);
    }

    // A peer that reconnects has given up its old connection, even if this side has not noticed
    // yet. The old one is closed, so that each peer has at most one connection.
    fn admit(&self, peer: &RouterIncarnation) -> Option<Rc<Notify>> {
        let mut authenticated = self.authenticated.borrow_mut();
        let is_known = authenticated.contains_key(peer);
        if !is_known && authenticated.len() >= self.context.options.accepted_max {
            return None;
        }
        let replaced = Rc::new(Notify::new());
        if let Some(old) = authenticated.insert(peer.clone(), Rc::clone(&replaced)) {
            old.notify_one();
        }
        Some(replaced)
    }

    fn remove_connection(&self, peer: &RouterIncarnation, replaced: &Rc<Notify>) {
        let mut authenticated = self.authenticated.borrow_mut();
        let is_own = authenticated
            .get(peer)
            .is_some_and(|current| Rc::ptr_eq(current, replaced));
        if is_own {
            authenticated.remove(peer);
        }
    }
}

fn start_rpc(
    stream: TcpStream,
    meter: &StreamMeter,
    gate: GateServer,
    context: &EdgeContext,
) -> RpcTask {
    // Otherwise an answer could wait for the acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = split_metered(stream, meter, &context.stats);
    let network = VatNetwork::new(reader, writer, Side::Server, reader_options());
    let gate: peer_gate::Client = capnp_rpc::new_client(gate);
    let system = RpcSystem::new(Box::new(network), Some(gate.client));
    AbortOnDropHandle::new(spawn_local(system))
}
