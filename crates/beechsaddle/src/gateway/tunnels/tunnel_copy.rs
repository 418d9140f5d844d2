//! The `tunnel_copy` module provides the copying of bytes between a router and a target.

use std::ops::ControlFlow;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;

use super::tunnel_watch::TunnelWatch;
use crate::gateway::gateway_metrics::TUNNEL_ENDS;
use crate::gateway::gateway_state::GatewayState;

/// Size of a copied part, in bytes: several events of a stream.
const PART_BYTES: usize = 8 * 1_024;

/// How much is copied in one direction of a tunnel before it is the turn of calls and other tunnels, in
/// bytes.
const TURN_BYTES: usize = 4 * PART_BYTES;

/// How long the rest of a request is read and dropped after the target has closed its connection. A
/// close with unread bytes would reset the connection, and the response on its way be lost.
const LINGER_SPAN: Duration = Duration::from_millis(1_000);

/// Why copying in one direction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyEnd {
    /// The reader's peer closed its connection.
    Closed,
    /// The reader's connection broke.
    ReadFailed,
    /// What was read is no answer.
    NoAnswer,
    /// The writer's connection broke.
    WriteFailed,
}

/// How a tunnel ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TunnelEnd {
    /// The target closed its connection.
    TargetClosed,
    /// The target's connection broke.
    TargetLost,
    /// The target sent no answer.
    NoAnswer,
    /// The other router closed its connection.
    RouterClosed,
    /// The other router's connection broke.
    RouterLost,
}

impl TunnelEnd {
    /// Returns the name in logs and metrics.
    pub(super) fn as_str(self) -> &'static str {
        let [
            target_closed,
            target_lost,
            no_answer,
            router_closed,
            router_lost,
        ] = TUNNEL_ENDS;
        match self {
            TunnelEnd::TargetClosed => target_closed,
            TunnelEnd::TargetLost => target_lost,
            TunnelEnd::NoAnswer => no_answer,
            TunnelEnd::RouterClosed => router_closed,
            TunnelEnd::RouterLost => router_lost,
        }
    }
}

/// Copies bytes in both directions until one end closes, and returns how the tunnel ended.
///
/// The router closes when the call is over, and the target's work ends with its connection. If the
/// target's connection breaks, or it sends no answer, the router's is reset: closed regularly, a
/// truncated response without a length would look complete.
pub(super) async fn copy_both_ways(
    state: &GatewayState,
    watch: &TunnelWatch<'_>,
    mut router: TcpStream,
    mut target: TcpStream,
) -> TunnelEnd {
    let end = {
        let (mut router_reader, mut router_writer) = router.split();
        let (mut target_reader, mut target_writer) = target.split();
        let mut responses = std::pin::pin!(copy(
            state,
            &mut target_reader,
            &mut router_writer,
            |part| watch.record_response(part),
        ));
        let requests = copy(state, &mut router_reader, &mut target_writer, |part| {
            watch.record_request(part);
            ControlFlow::Continue(())
        });
        tokio::select! {
            end = &mut responses => end,
            end = requests => match end {
                CopyEnd::Closed | CopyEnd::NoAnswer => return TunnelEnd::RouterClosed,
                CopyEnd::ReadFailed => return TunnelEnd::RouterLost,
                // The target may have responded before it stopped reading.
                CopyEnd::WriteFailed => responses.await,
            },
        }
    };
    match end {
        CopyEnd::Closed => {
            finish(router).await;
            TunnelEnd::TargetClosed
        }
        CopyEnd::ReadFailed => {
            // A connection that is already gone needs no reset.
            let _ = router.set_zero_linger();
            TunnelEnd::TargetLost
        }
        CopyEnd::NoAnswer => {
            let _ = router.set_zero_linger();
            TunnelEnd::NoAnswer
        }
        CopyEnd::WriteFailed => TunnelEnd::RouterLost,
    }
}

async fn copy(
    state: &GatewayState,
    reader: &mut (impl AsyncRead + Unpin),
    writer: &mut (impl AsyncWrite + Unpin),
    record_part: impl Fn(&[u8]) -> ControlFlow<()>,
) -> CopyEnd {
    let mut part = vec![0; PART_BYTES];
    let mut turn_bytes = 0;
    loop {
        match reader.read(&mut part).await {
            Ok(0) => return CopyEnd::Closed,
            Ok(count) => {
                state.record_bytes(count as u64);
                if record_part(&part[..count]).is_break() {
                    return CopyEnd::NoAnswer;
                }
                if writer.write_all(&part[..count]).await.is_err() {
                    return CopyEnd::WriteFailed;
                }
                turn_bytes += count;
                if turn_bytes >= TURN_BYTES {
                    turn_bytes = 0;
                    yield_now().await;
                }
            }
            Err(_) => return CopyEnd::ReadFailed,
        }
    }
}

/// Closes the connection to the router without a reset.
async fn finish(mut router: TcpStream) {
    if router.shutdown().await.is_err() {
        return;
    }
    let mut rest = tokio::io::sink();
    // Either the router closes as well, or its request has no reader any more.
    let _ = timeout(LINGER_SPAN, tokio::io::copy(&mut router, &mut rest)).await;
}
