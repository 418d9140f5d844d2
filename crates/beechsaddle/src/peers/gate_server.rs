//! The `gate_server` module provides the calls available before authentication.

use std::rc::Rc;

use beechsaddle_core::names::RouterIncarnation;
use beechsaddle_wire::WireError;
use beechsaddle_wire::peer::{
    NONCE_BYTES, PeerChallenge, PeerHello, read_hello, read_proof, write_challenge,
};
use beechsaddle_wire::peer_capnp::{peer_gate, peer_inbox};
use rand::RngCore;
use tokio::sync::watch;

use super::edge_context::EdgeContext;
use super::inbox_server::InboxServer;
use super::peer_auth::AuthRole;
use super::stream_meter::StreamMeter;

/// State of a connection's handshake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum GateState {
    /// No hello was received yet.
    Open,
    /// The sender was challenged.
    Challenged {
        /// The hello that was received.
        hello: PeerHello,
        /// The nonce of the challenge.
        nonce: [u8; NONCE_BYTES],
    },
    /// The sender is authenticated.
    Authenticated(RouterIncarnation),
    /// The connection is refused for this reason.
    Refused(&'static str),
}

/// Serves the handshake of one connection.
pub(super) struct GateServer {
    context: Rc<EdgeContext>,
    meter: StreamMeter,
    state: watch::Sender<GateState>,
}

impl GateServer {
    /// Creates a server and a receiver of its handshake state.
    pub(super) fn new(
        context: Rc<EdgeContext>,
        meter: StreamMeter,
    ) -> (Self, watch::Receiver<GateState>) {
        let (sender, receiver) = watch::channel(GateState::Open);
        let gate = GateServer {
            context,
            meter,
            state: sender,
        };
        (gate, receiver)
    }

    fn state(&self) -> GateState {
        self.state.borrow().clone()
    }

    fn set_state(&self, state: GateState) {
        self.state.send_replace(state);
    }

    fn refuse(&self, reason: &'static str) -> capnp::Error {
        self.set_state(GateState::Refused(reason));
        capnp::Error::failed(reason.to_owned())
    }

    // A message for an earlier incarnation must not reach this one, which has none of the state it
    // refers to: a holder that handled its predecessor's settles would bill without a reservation.
    fn is_for_own_incarnation(&self, receiver: &RouterIncarnation) -> bool {
        let own_incarnation = &self.context.own_incarnation;
        receiver.host == own_incarnation.host
            && (receiver.epoch == own_incarnation.epoch || receiver.epoch == 0)
    }

    fn handle_hello(
        &self,
        parameters: &peer_gate::HelloParams,
    ) -> Result<PeerChallenge, capnp::Error> {
        if self.state() != GateState::Open {
            return Err(self.refuse("hello_twice"));
        }
        let hello = read_hello(parameters.get()?.get_hello()?).map_err(failed)?;
        if !self.is_for_own_incarnation(&hello.receiver) {
            return Err(self.refuse("other_incarnation"));
        }
        if hello.sender == self.context.own_incarnation {
            return Err(self.refuse("own_incarnation"));
        }
        let mut nonce = [0; NONCE_BYTES];
        rand::rng().fill_bytes(&mut nonce);
        let receiver = self.context.own_incarnation.clone();
        let auth = &self.context.options.auth;
        let proof = auth.prove(AuthRole::Receiver, &hello, &receiver, &nonce);
        self.set_state(GateState::Challenged { hello, nonce });
        Ok(PeerChallenge {
            receiver,
            nonce,
            proof,
        })
    }

    fn handle_proof(
        &self,
        parameters: &peer_gate::ProveParams,
    ) -> Result<RouterIncarnation, capnp::Error> {
        let GateState::Challenged { hello, nonce } = self.state() else {
            return Err(self.refuse("proof_without_hello"));
        };
        let proof = read_proof(parameters.get()?.get_proof()?).map_err(failed)?;
        let auth = &self.context.options.auth;
        let own_incarnation = &self.context.own_incarnation;
        // Without this check any client that reaches the port could settle calls and mark targets.
        if !auth.is_valid_proof(&proof, AuthRole::Sender, &hello, own_incarnation, &nonce) {
            return Err(self.refuse("wrong_secret"));
        }
        self.meter.set_authenticated();
        self.set_state(GateState::Authenticated(hello.sender.clone()));
        Ok(hello.sender)
    }
}

impl peer_gate::Server for GateServer {
    async fn hello(
        self: Rc<Self>,
        parameters: peer_gate::HelloParams,
        mut results: peer_gate::HelloResults,
    ) -> Result<(), capnp::Error> {
        let challenge = self.handle_hello(&parameters)?;
        write_challenge(&challenge, results.get().init_challenge()).map_err(failed)
    }

    async fn prove(
        self: Rc<Self>,
        parameters: peer_gate::ProveParams,
        mut results: peer_gate::ProveResults,
    ) -> Result<(), capnp::Error> {
        let sender = self.handle_proof(&parameters)?;
        let server = InboxServer::new(sender, Rc::clone(&self.context));
        let inbox: peer_inbox::Client = capnp_rpc::new_client(server);
        results.get().set_inbox(inbox);
        Ok(())
    }
}

fn failed(error: WireError) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}
