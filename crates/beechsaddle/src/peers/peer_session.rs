//! The `peer_session` module provides one authenticated connection to a peer.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::names::RouterIncarnation;
use beechsaddle_core::peer::PeerMessage;
use beechsaddle_wire::WireError;
use beechsaddle_wire::peer::{
    MESSAGE_BYTES_MAX, NONCE_BYTES, PeerHello, read_challenge, reader_options, write_hello,
    write_message,
};
use beechsaddle_wire::peer_capnp::peer_inbox::{deliver_params, deliver_results};
use beechsaddle_wire::peer_capnp::{peer_gate, peer_inbox};
use capnp::capability::{Promise, Response};
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use rand::RngCore;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use super::edge_context::EdgeContext;
use super::metered_stream::split_metered;
use super::peer_auth::AuthRole;
use super::stream_meter::StreamMeter;

/// Bytes of the largest message that are reserved for a delivery's own framing.
const DELIVERY_FRAME_BYTES: usize = 4_096;

/// Why no session with a peer could be opened.
#[derive(Debug)]
pub(super) enum SessionError {
    /// Nothing listens at the address, or it did not answer in time.
    Unreachable(String),
    /// The peer is not the expected one, or does not accept this router as a peer.
    Refused(String),
}

/// The result of sending one delivery.
pub(super) struct SentBatch {
    /// Resolves when the peer has accepted the messages; `None` if there was nothing to send.
    pub(super) answer: Option<Promise<Response<deliver_results::Owned>, capnp::Error>>,
    /// Number of messages sent.
    pub(super) count: usize,
    /// Errors of the messages that were not sent.
    pub(super) rejected: Vec<WireError>,
}

/// A message that cannot be encoded.
struct WriteFailure {
    index: usize,
    error: WireError,
}

/// One authenticated connection to a peer.
pub(super) struct PeerSession {
    inbox: peer_inbox::Client,
    rpc: AbortOnDropHandle<Result<(), capnp::Error>>,
}

impl PeerSession {
    /// Connects and authenticates both sides.
    pub(super) async fn try_open(
        context: &Rc<EdgeContext>,
        to: &RouterIncarnation,
        address: &str,
    ) -> Result<Self, SessionError> {
        let span = Duration::from_millis(context.options.connect_timeout_ms);
        match timeout(span, PeerSession::open(context, to, address)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(SessionError::Unreachable(
                "connecting or handshake timed out".to_owned(),
            )),
        }
    }

    async fn open(
        context: &Rc<EdgeContext>,
        to: &RouterIncarnation,
        address: &str,
    ) -> Result<Self, SessionError> {
        // Routers know each other by IP address. A host name would be resolved by the system, on
        // threads that this edge does not bound.
        let address: SocketAddr = address
            .parse()
            .map_err(|_| SessionError::Unreachable("not a socket address".to_owned()))?;
        let stream = TcpStream::connect(address).await.map_err(unreachable)?;
        // Messages are small and most are awaited by the peer; batching is done by this edge.
        stream.set_nodelay(true).map_err(unreachable)?;
        let meter = StreamMeter::unlimited();
        let (reader, writer) = split_metered(stream, &meter, &context.stats);
        let network = VatNetwork::new(reader, writer, Side::Client, reader_options());
        let mut system = RpcSystem::new(Box::new(network), None);
        let gate: peer_gate::Client = system.bootstrap(Side::Server);
        let rpc = AbortOnDropHandle::new(tokio::task::spawn_local(system));
        let inbox = authenticate_both(context, to, &gate).await?;
        Ok(PeerSession { inbox, rpc })
    }

    /// Sends messages in one delivery. Those that cannot be encoded are left out.
    pub(super) fn deliver(&self, mut messages: Vec<PeerMessage>) -> SentBatch {
        let mut rejected = Vec::new();
        while !messages.is_empty() {
            let mut request = self.inbox.deliver_request();
            match write_batch(&messages, request.get()) {
                Ok(()) => {
                    let answer = request.send().promise;
                    return SentBatch {
                        answer: Some(answer),
                        count: messages.len(),
                        rejected,
                    };
                }
                Err(failure) => {
                    messages.remove(failure.index);
                    rejected.push(failure.error);
                }
            }
        }
        SentBatch {
            answer: None,
            count: 0,
            rejected,
        }
    }

    /// Waits until the connection ends and returns the reason.
    pub(super) async fn broken(&mut self) -> String {
        match (&mut self.rpc).await {
            Ok(Ok(())) => "closed".to_owned(),
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        }
    }
}

async fn authenticate_both(
    context: &EdgeContext,
    to: &RouterIncarnation,
    gate: &peer_gate::Client,
) -> Result<peer_inbox::Client, SessionError> {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    let hello = PeerHello {
        sender: context.own_incarnation.clone(),
        receiver: to.clone(),
        nonce,
    };
    let mut request = gate.hello_request();
    write_hello(&hello, request.get().init_hello()).map_err(refused)?;
    let response = request.send().promise.await.map_err(response_error)?;
    let reader = response.get().and_then(|results| results.get_challenge());
    let challenge = read_challenge(reader.map_err(refused)?).map_err(refused)?;
    let auth = &context.options.auth;
    let receiver = &challenge.receiver;
    let is_expected = receiver.host == to.host && (receiver.epoch == to.epoch || to.epoch == 0);
    // Any process may listen at a peer's old address. Without this check the calls and keys of this
    // router would be sent to it.
    if !is_expected
        || !auth.is_valid_proof(
            &challenge.proof,
            AuthRole::Receiver,
            &hello,
            receiver,
            &challenge.nonce,
        )
    {
        return Err(SessionError::Refused("wrong_secret".to_owned()));
    }
    let proof = auth.prove(AuthRole::Sender, &hello, receiver, &challenge.nonce);
    let mut request = gate.prove_request();
    request.get().set_proof(&proof);
    let response = request.send().promise.await.map_err(response_error)?;
    let inbox = response.get().and_then(|results| results.get_inbox());
    inbox.map_err(refused)
}

fn write_batch(
    messages: &[PeerMessage],
    mut parameters: deliver_params::Builder<'_>,
) -> Result<(), WriteFailure> {
    let count = messages.len() as u32;
    let mut list = parameters.reborrow().init_messages(count);
    for (index, message) in messages.iter().enumerate() {
        write_message(message, list.reborrow().get(index as u32))
            .map_err(|error| WriteFailure { index, error })?;
    }
    // Only a message that is sent alone can be that large: a batch is limited long before.
    check_size(parameters.into_reader()).map_err(|error| WriteFailure { index: 0, error })
}

fn check_size(parameters: deliver_params::Reader<'_>) -> Result<(), WireError> {
    let size = parameters.total_size()?.word_count as usize * 8;
    let limit = MESSAGE_BYTES_MAX - DELIVERY_FRAME_BYTES;
    if size > limit {
        return Err(WireError::TooLarge { size, limit });
    }
    Ok(())
}

fn unreachable(error: io::Error) -> SessionError {
    SessionError::Unreachable(error.to_string())
}

fn refused(error: impl fmt::Display) -> SessionError {
    SessionError::Refused(error.to_string())
}

// An error answered by the peer is a refusal; if the connection broke, the peer may be starting or
// ending.
fn response_error(error: capnp::Error) -> SessionError {
    match error.kind {
        capnp::ErrorKind::Failed => SessionError::Refused(error.to_string()),
        _ => SessionError::Unreachable(error.to_string()),
    }
}
