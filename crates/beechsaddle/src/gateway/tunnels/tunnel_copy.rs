//! The `tunnel_copy` module provides the copying of bytes between a router and a target.

use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::task::yield_now;
use tokio::time::timeout;

use super::tunnel_frame::{FrameHead, HEAD_BYTES};
use super::tunnel_stream::TunnelFraming;
use super::tunnel_watch::TunnelWatch;
use crate::gateway::gateway_metrics::TUNNEL_ENDS;
use crate::gateway::gateway_state::GatewayState;

/// Size of a copied part, in bytes: several events of a stream.
pub(super) const PART_BYTES: usize = 8 * 1_024;

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
/// The router closes when the call is over, and the target's work ends with its connection.
pub(super) async fn copy_both_ways(
    state: &GatewayState,
    watch: &TunnelWatch<'_>,
    framing: TunnelFraming,
    mut router: TcpStream,
    mut target: TcpStream,
) -> TunnelEnd {
    if framing == TunnelFraming::Bare {
        // Closed regularly, a truncated response without a length would look complete.
        reset_on_close(&router);
    }
    let end = {
        let (router_reader, router_writer) = router.split();
        let (target_reader, target_writer) = target.split();
        let mut responses = std::pin::pin!(copy_responses(
            state,
            watch,
            framing,
            target_reader,
            router_writer
        ));
        tokio::select! {
            end = &mut responses => Some(end),
            end = copy_requests(state, watch, router_reader, target_writer) => match end {
                CopyEnd::Closed | CopyEnd::NoAnswer => return TunnelEnd::RouterClosed,
                CopyEnd::ReadFailed => None,
                // The target may have responded before it stopped reading. The failed write has taken
                // the error of the connection, so that it may now look closed.
                CopyEnd::WriteFailed => match responses.await {
                    CopyEnd::Closed if framing == TunnelFraming::Frames => {
                        Some(CopyEnd::ReadFailed)
                    }
                    end => Some(end),
                },
            },
        }
    };
    let Some(end) = end else {
        // The router has given the request up: what the target has not acknowledged is dropped.
        reset_on_close(&target);
        return TunnelEnd::RouterLost;
    };
    let end = match end {
        CopyEnd::Closed => TunnelEnd::TargetClosed,
        CopyEnd::ReadFailed => TunnelEnd::TargetLost,
        CopyEnd::NoAnswer => TunnelEnd::NoAnswer,
        CopyEnd::WriteFailed => return TunnelEnd::RouterLost,
    };
    match framing {
        TunnelFraming::Frames => finish_frames(router, end).await,
        TunnelFraming::Bare => finish_bare(router, end).await,
    }
    end
}

async fn copy_requests(
    state: &GatewayState,
    watch: &TunnelWatch<'_>,
    mut router: ReadHalf<'_>,
    mut target: WriteHalf<'_>,
) -> CopyEnd {
    let mut part = vec![0; PART_BYTES];
    let mut turn = CopyTurn::default();
    loop {
        let count = match read_part(state, &mut router, &mut part).await {
            Ok(count) => count,
            Err(end) => return end,
        };
        watch.record_request(&part[..count]);
        if target.write_all(&part[..count]).await.is_err() {
            return CopyEnd::WriteFailed;
        }
        turn.record(count).await;
    }
}

async fn copy_responses(
    state: &GatewayState,
    watch: &TunnelWatch<'_>,
    framing: TunnelFraming,
    mut target: ReadHalf<'_>,
    mut router: WriteHalf<'_>,
) -> CopyEnd {
    let mut frame = vec![0; HEAD_BYTES + PART_BYTES];
    let mut turn = CopyTurn::default();
    loop {
        let count = match read_part(state, &mut target, &mut frame[HEAD_BYTES..]).await {
            Ok(count) => count,
            Err(end) => return end,
        };
        let frame = &mut frame[..HEAD_BYTES + count];
        if watch.record_response(&frame[HEAD_BYTES..]).is_break() {
            return CopyEnd::NoAnswer;
        }
        let sent = match framing {
            TunnelFraming::Frames => {
                let head = FrameHead::Data(count as u32);
                frame[..HEAD_BYTES].copy_from_slice(&head.to_bytes());
                &*frame
            }
            TunnelFraming::Bare => &frame[HEAD_BYTES..],
        };
        if router.write_all(sent).await.is_err() {
            return CopyEnd::WriteFailed;
        }
        turn.record(count).await;
    }
}

/// Reads a part of at least one byte.
async fn read_part(
    state: &GatewayState,
    reader: &mut (impl AsyncRead + Unpin),
    part: &mut [u8],
) -> Result<usize, CopyEnd> {
    match reader.read(part).await {
        Ok(0) => Err(CopyEnd::Closed),
        Ok(count) => {
            state.record_bytes(count as u64);
            Ok(count)
        }
        Err(_) => Err(CopyEnd::ReadFailed),
    }
}

/// What was copied in one direction since others had their turn, in bytes.
#[derive(Debug, Default)]
struct CopyTurn {
    bytes: usize,
}

impl CopyTurn {
    /// Records a part, and lets others have their turn when it is time.
    async fn record(&mut self, bytes: usize) {
        self.bytes += bytes;
        if self.bytes >= TURN_BYTES {
            self.bytes = 0;
            yield_now().await;
        }
    }
}

/// Tells the router how the target's response ended, and closes the connection.
async fn finish_frames(mut router: TcpStream, end: TunnelEnd) {
    let head = match end {
        TunnelEnd::TargetClosed => FrameHead::Ended,
        _ => FrameHead::Lost,
    };
    // A router that is gone needs no end.
    if router.write_all(&head.to_bytes()).await.is_ok() {
        close(router).await;
    }
}

/// Makes a connection end in a reset, also if this process is killed.
fn reset_on_close(stream: &TcpStream) {
    // A connection that is already gone needs no reset.
    let _ = stream.set_zero_linger();
}

/// Closes the connection to a router that reads bare bytes.
async fn finish_bare(router: TcpStream, end: TunnelEnd) {
    if end == TunnelEnd::TargetClosed && SockRef::from(&router).set_linger(None).is_ok() {
        close(router).await;
    }
}

/// Closes the connection to the router without a reset.
async fn close(mut router: TcpStream) {
    if router.shutdown().await.is_err() {
        return;
    }
    let mut rest = tokio::io::sink();
    // Either the router closes as well, or its request has no reader any more.
    let _ = timeout(LINGER_SPAN, tokio::io::copy(&mut router, &mut rest)).await;
}
