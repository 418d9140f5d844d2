//! The `call_load` module provides the callers of a soak.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{CallReply, CallRequest, CallerLink};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{sleep, timeout};

use super::call_log::{CallEnd, CallExchange, CallLog, RecordedCall, ResumedCall, SoakKind};
use super::idle_times::IdleTimes;
use super::soak_fleet::WORKSPACES;
use super::soak_target::{CRASH_MARK, EVENTS};

/// Deadline of a call in milliseconds.
pub const DEADLINE_MS: u64 = 2_500;

/// Share of streams whose bodies crash their targets, if this is enabled.
const CRASHING_SHARE: f64 = 0.01;

/// Separates the random numbers of bodies from those of calls, so that the calls of a seed do not
/// change with the bodies.
const BODY_SEED: u64 = 0xb0d1;

/// Separates the random numbers of resumed streams from those of other calls.
const RESUME_SEED: u64 = 0x5e50;

/// Share of streams whose caller leaves in the middle, if callers resume streams.
const LEAVING_SHARE: f64 = 0.2;

/// How often a caller tries to resume a stream.
const RESUME_ATTEMPTS: u32 = 3;

/// Separates the random numbers of pauses in requests from those of calls.
const PAUSE_SEED: u64 = 0x9a05;

/// Share of calls that are sent in parts, and share of those that are sent some time after their
/// caller connected.
const PAUSE_SHARE: f64 = 0.2;

/// The longest of these pauses, in milliseconds.
const PAUSE_MAX_MS: u64 = 200;

/// Separates the random numbers of callers that rest between their calls.
const RESTING_SEED: u64 = 0x1d1e;

/// The shortest rest of such a caller, as a part of the longest one.
const REST_PART_MIN: f64 = 0.6;

/// The time between two checks whether a caller that rests has to stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A caller's connection to a router.
struct KeptLink {
    router: SocketAddr,
    link: CallerLink,
    is_new: bool,
    idle_since: Instant,
}

impl KeptLink {
    async fn try_connect(router: SocketAddr) -> std::io::Result<Self> {
        Ok(KeptLink {
            router,
            link: CallerLink::try_connect(router).await?,
            is_new: true,
            idle_since: Instant::now(),
        })
    }
}

/// Callers, each of which sends one call at a time and reuses its connection while it is open.
#[derive(Clone)]
pub struct CallLoad {
    /// The calls and their responses.
    pub log: CallLog,
    /// Set to stop all callers after their current calls.
    pub is_stopped: Arc<AtomicBool>,
    routers: Vec<SocketAddr>,
    has_bodies: bool,
    /// Whether callers resume streams that were interrupted.
    has_resumes: bool,
    /// Whether some calls crash their targets.
    pub has_crashing: Arc<AtomicBool>,
    /// How long connections may stay idle, as callers know it.
    pub idle_times: IdleTimes,
    /// Whether some calls are sent in parts, or some time after their caller connected.
    pub has_pauses: bool,
}

impl CallLoad {
    /// Creates the callers of these routers.
    pub fn new(routers: Vec<SocketAddr>, has_crashing: bool, has_resumes: bool) -> Self {
        CallLoad {
            log: CallLog::default(),
            is_stopped: Arc::default(),
            routers,
            has_crashing: Arc::new(AtomicBool::new(has_crashing)),
            idle_times: IdleTimes::default(),
            has_pauses: false,
            has_bodies: has_crashing,
            has_resumes,
        }
    }

    /// Sends calls until `is_stopped` is set.
    pub async fn run(self, seed: u64, caller: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ (caller << 32));
        let mut bodies = ChaCha8Rng::seed_from_u64(seed ^ (caller << 24) ^ BODY_SEED);
        let mut resumes = ChaCha8Rng::seed_from_u64(seed ^ (caller << 24) ^ RESUME_SEED);
        let mut pauses = ChaCha8Rng::seed_from_u64(seed ^ (caller << 24) ^ PAUSE_SEED);
        let mut link: Option<KeptLink> = None;
        let mut number = 0;
        while !self.is_stopped.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{seed}-{caller}-{number}");
            let router = self.routers[random.random_range(0..self.routers.len())];
            let (call, mut request) = draw_call(&mut random, &id);
            if self.has_bodies && call.kind.is_stream() {
                let has_crashing = self.has_crashing.load(Ordering::Relaxed);
                let body = draw_body(&mut bodies, has_crashing);
                add_prompt(&mut request, body);
            }
            let is_new = link.is_none() || random.random_bool(0.1);
            link = match link.take() {
                Some(reused) if !is_new && self.may_reuse(&reused) => Some(reused),
                _ => KeptLink::try_connect(router).await.ok(),
            };
            if self.has_pauses {
                request.pause = draw_pause(&mut pauses);
                sleep(draw_pause(&mut pauses).unwrap_or_default()).await;
            }
            if let Some(open) = &mut link {
                let events = match self.has_resumes && call.kind == SoakKind::Resumable {
                    true => draw_patience(&mut resumes),
                    false => usize::MAX,
                };
                let (call, is_reusable) = self.call_on(open, &id, call, &request, events).await;
                if !is_reusable {
                    link = None;
                }
                if self.has_resumes {
                    self.resume(&mut resumes, &id, call, &request).await;
                }
            }
            sleep(Duration::from_millis(random.random_range(5..50))).await;
        }
    }

    /// Sends calls through one router until `is_stopped` is set, and rests before each one for up to as
    /// long as its connection may stay idle.
    pub async fn run_resting(self, seed: u64, caller: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ (caller << 24) ^ RESTING_SEED);
        let router = self.routers[caller as usize % self.routers.len()];
        let mut link: Option<KeptLink> = None;
        let mut number = 0;
        while !self.is_stopped.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{seed}-resting-{caller}-{number}");
            let (call, request) = draw_call(&mut random, &id);
            let part = random.random_range(REST_PART_MIN..1.0);
            self.rest(self.idle_times.reuse_limit().mul_f64(part)).await;
            link = match link.take() {
                Some(reused) if self.may_reuse(&reused) => Some(reused),
                _ => KeptLink::try_connect(router).await.ok(),
            };
            if let Some(open) = &mut link {
                let (_, is_reusable) = self.call_on(open, &id, call, &request, usize::MAX).await;
                if !is_reusable {
                    link = None;
                }
            }
        }
    }

    fn may_reuse(&self, link: &KeptLink) -> bool {
        link.idle_since.elapsed() <= self.idle_times.reuse_limit()
    }

    /// Waits for `span`, or until `is_stopped` is set.
    async fn rest(&self, span: Duration) {
        let until = Instant::now() + span;
        while !self.is_stopped.load(Ordering::Relaxed) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            sleep(left.min(STOP_POLL_INTERVAL)).await;
        }
    }

    /// Resumes an interrupted stream through other routers, a few times.
    async fn resume(
        &self,
        random: &mut ChaCha8Rng,
        began_as: &str,
        mut call: RecordedCall,
        request: &CallRequest,
    ) {
        for attempt in 1..=RESUME_ATTEMPTS {
            let Some(last_event) = call.resumable_after() else {
                return;
            };
            sleep(Duration::from_millis(random.random_range(5..200))).await;
            let router = self.routers[random.random_range(0..self.routers.len())];
            let Ok(mut link) = KeptLink::try_connect(router).await else {
                continue;
            };
            let id = format!("{began_as}-{attempt}");
            let mut request = CallRequest {
                id: id.clone(),
                ..request.clone()
            };
            request.resume(began_as, last_event);
            call.resumed = Some(ResumedCall {
                began_as: began_as.to_owned(),
                last_event,
            });
            call.reply = None;
            let events = draw_patience(random);
            (call, _) = self.call_on(&mut link, &id, call, &request, events).await;
        }
    }

    /// Sends and records a call, and leaves after so many events of a stream. Returns it with its response, and whether the connection can be reused.
    async fn call_on(
        &self,
        link: &mut KeptLink,
        id: &str,
        mut call: RecordedCall,
        request: &CallRequest,
        events: usize,
    ) -> (RecordedCall, bool) {
        let wait_limit = Duration::from_millis(request.deadline_ms + 500);
        let sent_at = Instant::now();
        let idle_since = link.idle_since;
        let answer = timeout(wait_limit, link.link.call_up_to(request, events)).await;
        let ended_at = Instant::now();
        link.idle_since = ended_at;
        let mut end = CallEnd::Closed;
        let mut is_reusable = false;
        match answer {
            Ok(Ok(reply)) => {
                is_reusable = reply.is_complete && !reply.headers.contains_key("connection");
                end = reply_end(&reply, events);
                call.reply = Some(reply);
            }
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::InvalidData => {
                self.log
                    .record_violation(format!("{id}: bytes before its response"));
            }
            // The router closed the connection: the outcome is unknown.
            Ok(Err(_)) => {}
            Err(_) => end = CallEnd::TimedOut,
        }
        call.exchange = Some(CallExchange {
            router: link.router,
            is_first: std::mem::take(&mut link.is_new),
            idle_since,
            sent_at,
            ended_at,
            end,
        });
        self.log.record(id.to_owned(), call.clone());
        (call, is_reusable)
    }
}

/// Returns how a call ended whose caller stays for so many events.
fn reply_end(reply: &CallReply, events: usize) -> CallEnd {
    let received = reply.body.matches("\n\n").count();
    match reply.is_complete {
        true => CallEnd::Whole,
        false if received >= events => CallEnd::Left,
        false => CallEnd::BrokenOff,
    }
}

/// Draws after how many events a caller leaves a stream, which it then resumes. Most stay to its end.
fn draw_patience(random: &mut ChaCha8Rng) -> usize {
    match random.random_bool(LEAVING_SHARE) {
        true => random.random_range(1..EVENTS as usize),
        false => usize::MAX,
    }
}

/// Draws a pause of some calls.
fn draw_pause(random: &mut ChaCha8Rng) -> Option<Duration> {
    let pause = Duration::from_millis(random.random_range(0..PAUSE_MAX_MS));
    random.random_bool(PAUSE_SHARE).then_some(pause)
}

/// Draws one of a few bodies that many calls share, sometimes one that crashes its targets.
fn draw_body(random: &mut ChaCha8Rng, has_crashing: bool) -> Vec<u8> {
    let number = random.random_range(0..3);
    match random.random_bool(CRASHING_SHARE) && has_crashing {
        true => [CRASH_MARK, &[number]].concat(),
        false => vec![number],
    }
}

/// Gives a call its body, and a prompt with a part that the calls with this body share. Most
/// crashing calls have bodies of their own, so that only a part of their prompts is known to crash targets.
fn add_prompt(request: &mut CallRequest, mut body: Vec<u8>) {
    let number = body.last().copied().unwrap_or(0);
    let is_crashing = body.starts_with(CRASH_MARK);
    let popular = format!("popular-{number}");
    let own = request.id.clone();
    match is_crashing && number > 0 {
        true => {
            body.extend_from_slice(own.as_bytes());
            request.set_prompt(&[&popular, "crashing", &own]);
        }
        false => request.set_prompt(&[&popular, &own]),
    }
    request.body = body;
}

/// Draws a call of a random kind.
pub fn draw_call(random: &mut ChaCha8Rng, id: &str) -> (RecordedCall, CallRequest) {
    let kind = match random.random_range(0..4) {
        0 => SoakKind::Idempotent,
        1 => SoakKind::Once,
        2 => SoakKind::Stream,
        _ => SoakKind::Resumable,
    };
    let (workspace, key, _) = WORKSPACES[usize::from(random.random_bool(0.3))];
    let mut request = CallRequest::new(kind.request_line(), id, key);
    request.deadline_ms = DEADLINE_MS;
    let mut input = 0;
    if kind.is_stream() {
        input = random.random_range(50..2_000);
        request.tokens = Some((input, 18));
    }
    let call = RecordedCall {
        kind,
        workspace,
        input,
        resumed: None,
        reply: None,
        exchange: None,
    };
    (call, request)
}
