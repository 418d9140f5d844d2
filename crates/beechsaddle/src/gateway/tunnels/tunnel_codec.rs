//! The `tunnel_codec` module provides the messages that open a tunnel.

use std::io;

use beechsaddle_core::gateway::TargetRecord;
use beechsaddle_core::prelude::*;
use beechsaddle_wire::lending_capnp::{TunnelOutcome, tunnel_reply, tunnel_request};
use capnp::message::{Builder, HeapAllocator, ReaderOptions};
use capnp_futures::serialize::{read_message, write_message};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

use super::tunnel_stream::TunnelFraming;

/// The first bytes of a tunnel, which no message of the other connections between routers starts with:
/// there they would be an impossible number of segments.
pub(in crate::gateway) const TUNNEL_PREFACE: [u8; 4] = *b"TUNL";

/// Maximum size of a message, in words of 8 bytes: a secret and a name.
const MESSAGE_WORDS_MAX: usize = 1_024;

/// A request to open a tunnel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct TunnelOrder {
    pub(super) secret: String,
    pub(super) target: TargetName,
    /// The target's start; `None` if unknown.
    pub(super) started: Option<u64>,
    /// How the router reads the target's response.
    pub(super) framing: TunnelFraming,
}

impl TunnelOrder {
    /// Creates the request for a tunnel to a target.
    pub(super) fn new(secret: String, target: &TargetRecord) -> Self {
        TunnelOrder {
            secret,
            target: target.name.clone(),
            started: target.started,
            framing: TunnelFraming::Frames,
        }
    }

    /// Sends the preface and the request.
    ///
    /// # Errors
    ///
    /// If the connection is lost.
    pub(super) async fn write(&self, stream: &mut TcpStream) -> Result<(), String> {
        let mut message = Builder::new_default();
        let mut request = message.init_root::<tunnel_request::Builder<'_>>();
        request.set_secret(&self.secret);
        request.set_target(self.target.as_str());
        request.set_started(self.started.unwrap_or(0));
        request.set_framed(self.framing == TunnelFraming::Frames);
        write_whole(stream, &TUNNEL_PREFACE, &message)
            .await
            .map_err(|error| error.to_string())
    }

    /// Reads a request, after its preface.
    ///
    /// # Errors
    ///
    /// If the connection is lost or the message is malformed.
    pub(super) async fn read(stream: &mut TcpStream) -> Result<Self, capnp::Error> {
        let message = read_message(stream.compat(), reader_options()).await?;
        let request = message.get_root::<tunnel_request::Reader<'_>>()?;
        let started = request.get_started();
        Ok(TunnelOrder {
            secret: request.get_secret()?.to_str()?.to_owned(),
            target: TargetName::new(request.get_target()?.to_str()?),
            started: (started > 0).then_some(started),
            framing: read_framing(request.get_framed()),
        })
    }
}

/// The reply to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TunnelReply {
    pub(super) outcome: TunnelOutcome,
    /// How the target's response follows, if the tunnel was opened.
    pub(super) framing: TunnelFraming,
}

impl TunnelReply {
    /// Sends the reply.
    ///
    /// # Errors
    ///
    /// If the connection is lost.
    pub(super) async fn write(self, stream: &mut TcpStream) -> io::Result<()> {
        let mut message = Builder::new_default();
        let mut reply = message.init_root::<tunnel_reply::Builder<'_>>();
        reply.set_outcome(self.outcome);
        reply.set_framed(self.framing == TunnelFraming::Frames);
        write_whole(stream, &[], &message).await
    }

    /// Reads a reply.
    ///
    /// # Errors
    ///
    /// If the connection is lost or the message is malformed.
    pub(super) async fn read(stream: &mut TcpStream) -> Result<Self, String> {
        let read = read_message(stream.compat(), reader_options()).await;
        let message = read.map_err(|error| error.to_string())?;
        let reply = message.get_root::<tunnel_reply::Reader<'_>>();
        let reply = reply.map_err(|error| error.to_string())?;
        let outcome = reply.get_outcome().map_err(|error| error.to_string())?;
        let framing = read_framing(reply.get_framed());
        Ok(TunnelReply { outcome, framing })
    }
}

fn read_framing(is_framed: bool) -> TunnelFraming {
    match is_framed {
        true => TunnelFraming::Frames,
        false => TunnelFraming::Bare,
    }
}

/// Writes everything at once, so that it fits into one packet.
async fn write_whole(
    stream: &mut (impl AsyncWrite + Unpin),
    preface: &[u8],
    message: &Builder<HeapAllocator>,
) -> io::Result<()> {
    let mut bytes = preface.to_vec();
    write_message(&mut bytes, message)
        .await
        .map_err(io::Error::other)?;
    stream.write_all(&bytes).await
}

fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_WORDS_MAX));
    options
}
