//! The `call_load` module provides the callers of a soak.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use beechsaddle_platform_stand_in::{CallRequest, CallerLink};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{sleep, timeout};

use super::call_book::{BookedCall, CallBook, SoakKind};
use super::soak_fleet::WORKSPACES;
use super::soak_target::CRASH_MARK;

/// How long a caller waits for an answer, in milliseconds.
const DEADLINE_MS: u64 = 2_500;

/// The part of streams whose bodies crash their targets, where some do.
const CRASHING_PART: f64 = 0.01;

/// Tells the random numbers of bodies from those of calls, which stay the same for a seed.
const BODY_STREAM: u64 = 0xb0d1;

/// Callers that call one after the other, on connections that they keep while these work.
#[derive(Clone)]
pub struct CallLoad {
    /// What they see.
    pub book: CallBook,
    /// Has them stop after their calls.
    pub is_over: Arc<AtomicBool>,
    routers: Vec<SocketAddr>,
    has_bodies: bool,
    /// Whether some calls crash their targets.
    pub has_crashing: Arc<AtomicBool>,
}

impl CallLoad {
    /// Callers of some routers that have not called yet.
    pub fn new(routers: Vec<SocketAddr>, has_crashing: bool) -> Self {
        CallLoad {
            book: CallBook::default(),
            is_over: Arc::default(),
            routers,
            has_crashing: Arc::new(AtomicBool::new(has_crashing)),
            has_bodies: has_crashing,
        }
    }

    /// Calls until it is over.
    pub async fn run(self, seed: u64, caller: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ (caller << 32));
        let mut bodies = ChaCha8Rng::seed_from_u64(seed ^ (caller << 24) ^ BODY_STREAM);
        let mut link = None;
        let mut number = 0;
        while !self.is_over.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{seed}-{caller}-{number}");
            let router = self.routers[random.random_range(0..self.routers.len())];
            let (call, mut request) = draw_call(&mut random, &id);
            if self.has_bodies && call.kind.is_stream() {
                let has_crashing = self.has_crashing.load(Ordering::Relaxed);
                request.body = draw_body(&mut bodies, has_crashing);
            }
            let is_new = link.is_none() || random.random_bool(0.1);
            link = match link.take() {
                Some(kept) if !is_new => Some(kept),
                _ => CallerLink::try_connect(router).await.ok(),
            };
            if let Some(open) = &mut link
                && !self.call_on(open, id, call, &request).await
            {
                link = None;
            }
            sleep(Duration::from_millis(random.random_range(5..50))).await;
        }
    }

    /// Makes a call and writes it down; tells whether the connection goes on.
    async fn call_on(
        &self,
        link: &mut CallerLink,
        id: String,
        mut call: BookedCall,
        request: &CallRequest,
    ) -> bool {
        let patience = Duration::from_millis(request.deadline_ms + 500);
        let answer = timeout(patience, link.call(request)).await;
        let mut goes_on = false;
        match answer {
            Ok(Ok(reply)) => {
                goes_on = reply.is_complete && !reply.headers.contains_key("connection");
                call.reply = Some(reply);
            }
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::InvalidData => {
                self.book
                    .note_broken(format!("{id}: bytes before its answer"));
            }
            // The router ended, or the caller waited long enough: it does not know what became of it.
            Ok(Err(_)) | Err(_) => {}
        }
        self.book.note(id, call);
        goes_on
    }
}

/// A body that many share, or now and then one of a few that crash their targets.
fn draw_body(random: &mut ChaCha8Rng, has_crashing: bool) -> Vec<u8> {
    let number = random.random_range(0..3);
    match random.random_bool(CRASHING_PART) && has_crashing {
        true => [CRASH_MARK, &[number]].concat(),
        false => vec![number],
    }
}

/// A call with its kind drawn at random.
pub fn draw_call(random: &mut ChaCha8Rng, id: &str) -> (BookedCall, CallRequest) {
    let kind = match random.random_range(0..4) {
        0 => SoakKind::Idempotent,
        1 => SoakKind::Once,
        2 => SoakKind::Stream,
        _ => SoakKind::Resumable,
    };
    let (workspace, key, _) = WORKSPACES[usize::from(random.random_bool(0.3))];
    let mut request = CallRequest::new(kind.line(), id, key);
    request.deadline_ms = DEADLINE_MS;
    let mut input = 0;
    if kind.is_stream() {
        input = random.random_range(50..2_000);
        request.tokens = Some((input, 18));
    }
    let call = BookedCall {
        kind,
        workspace,
        input,
        reply: None,
    };
    (call, request)
}
