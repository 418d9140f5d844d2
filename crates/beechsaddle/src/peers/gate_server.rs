//! The `gate_server` module provides what a connection may call before it has proven itself.

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
use super::stream_gauge::StreamGauge;

/// How far a connection has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum GateState {
    /// Nothing was said yet.
    Open,
    /// The sender was challenged.
    Challenged {
        /// What it said.
        hello: PeerHello,
        /// What it was challenged with.
        nonce: [u8; NONCE_BYTES],
    },
    /// The sender has proven itself.
    Proven(RouterIncarnation),
    /// The connection is refused, for this reason.
    Refused(&'static str),
}

/// The gate of one connection.
pub(super) struct GateServer {
    context: Rc<EdgeContext>,
    gauge: StreamGauge,
    state: watch::Sender<GateState>,
}

impl GateServer {
    /// A gate, and how far the connection has come.
    pub(super) fn new(
        context: Rc<EdgeContext>,
        gauge: StreamGauge,
    ) -> (Self, watch::Receiver<GateState>) {
        let (sender, receiver) = watch::channel(GateState::Open);
        let gate = GateServer {
            context,
            gauge,
            state: sender,
        };
        (gate, receiver)
    }

    fn state(&self) -> GateState {
        self.state.borrow().clone()
    }

    fn move_to(&self, state: GateState) {
        self.state.send_replace(state);
    }

    fn refuse(&self, reason: &'static str) -> capnp::Error {
        self.move_to(GateState::Refused(reason));
        capnp::Error::failed(reason.to_owned())
    }

    // A message for an earlier life must not reach this one, which knows nothing of what it is
    // about: a holder that took over its predecessor's settles would bill without a reservation.
    fn is_for_me(&self, receiver: &RouterIncarnation) -> bool {
        let me = &self.context.me;
        receiver.host == me.host && (receiver.epoch == me.epoch || receiver.epoch == 0)
    }

    fn take_hello(
        &self,
        parameters: &peer_gate::HelloParams,
    ) -> Result<PeerChallenge, capnp::Error> {
        if self.state() != GateState::Open {
            return Err(self.refuse("hello_twice"));
        }
        let hello = read_hello(parameters.get()?.get_hello()?).map_err(failed)?;
        if !self.is_for_me(&hello.receiver) {
            return Err(self.refuse("other_incarnation"));
        }
        if hello.sender == self.context.me {
            return Err(self.refuse("own_incarnation"));
        }
        let mut nonce = [0; NONCE_BYTES];
        rand::rng().fill_bytes(&mut nonce);
        let receiver = self.context.me.clone();
        let auth = &self.context.options.auth;
        let proof = auth.prove(AuthRole::Receiver, &hello, &receiver, &nonce);
        self.move_to(GateState::Challenged { hello, nonce });
        Ok(PeerChallenge {
            receiver,
            nonce,
            proof,
        })
    }

    fn take_proof(
        &self,
        parameters: &peer_gate::ProveParams,
    ) -> Result<RouterIncarnation, capnp::Error> {
        let GateState::Challenged { hello, nonce } = self.state() else {
            return Err(self.refuse("proof_without_hello"));
        };
        let proof = read_proof(parameters.get()?.get_proof()?).map_err(failed)?;
        let auth = &self.context.options.auth;
        let me = &self.context.me;
        // Without this check anyone who can reach the port could settle calls and mark targets.
        if !auth.is_proven(&proof, AuthRole::Sender, &hello, me, &nonce) {
            return Err(self.refuse("wrong_secret"));
        }
        self.gauge.set_proven();
        self.move_to(GateState::Proven(hello.sender.clone()));
        Ok(hello.sender)
    }
}

impl peer_gate::Server for GateServer {
    async fn hello(
        self: Rc<Self>,
        parameters: peer_gate::HelloParams,
        mut results: peer_gate::HelloResults,
    ) -> Result<(), capnp::Error> {
        let challenge = self.take_hello(&parameters)?;
        write_challenge(&challenge, results.get().init_challenge()).map_err(failed)
    }

    async fn prove(
        self: Rc<Self>,
        parameters: peer_gate::ProveParams,
        mut results: peer_gate::ProveResults,
    ) -> Result<(), capnp::Error> {
        let sender = self.take_proof(&parameters)?;
        let server = InboxServer::new(sender, Rc::clone(&self.context));
        let inbox: peer_inbox::Client = capnp_rpc::new_client(server);
        results.get().set_inbox(inbox);
        Ok(())
    }
}

fn failed(error: WireError) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}
