//! Measurements of the edge's cost; run by hand, mostly without assertions.
//!
//! `cargo test --release -p beechsaddle --test calls_cost -- --ignored --nocapture --test-threads
//! 1`

mod calls_support;

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use beechsaddle_core::call::{CallAction, CallEvent};
use beechsaddle_core::prelude::*;
use calls_support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Concurrent streams, and the interval and number of events of each: together the share of one
/// node at the size in `docs/CAPACITY.md` (3.5 million tokens per second over 450 nodes).
const STREAMS: usize = 300;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
const EVENTS: usize = 125;

/// Processor time used by the edge's threads so far.
fn edge_time() -> Duration {
    let mut ticks = 0_u64;
    for task in fs::read_dir("/proc/self/task").expect("tasks").flatten() {
        let path = task.path();
        let name = fs::read_to_string(path.join("comm")).unwrap_or_default();
        if name.trim() != "calls" {
            continue;
        }
        let stat = fs::read_to_string(path.join("stat")).unwrap_or_default();
        let fields: Vec<&str> = stat.split(' ').collect();
        ticks += fields[13].parse::<u64>().unwrap_or(0) + fields[14].parse::<u64>().unwrap_or(0);
    }
    Duration::from_millis(ticks * 10)
}

fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("a status");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .expect("a size");
    line.split_whitespace()
        .nth(1)
        .expect("a size")
        .parse()
        .expect("a number")
}

/// Runs a core that dispatches every call to `target` and releases every answer.
fn run_core(core: Arc<FakeCore>, target: SocketAddr, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(event) = core.events.recv_timeout(Duration::from_millis(20)) else {
            continue;
        };
        match event {
            CoreEvent::Call(CallEvent::Arrived(arrival)) => {
                core.act(dispatch(&arrival.call, 0, target));
            }
            CoreEvent::Call(CallEvent::AnswerEnded { attempt, .. }) => {
                core.act(CallAction::Finish { call: attempt.call });
            }
            _ => {}
        }
    }
}

async fn serve_stream(mut stream: TcpStream) {
    let mut buffer = [0_u8; 4_096];
    if !matches!(stream.read(&mut buffer).await, Ok(count) if count > 0) {
        return;
    }
    let _ = stream.set_nodelay(true);
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                transfer-encoding: chunked\r\n\r\n";
    let _ = stream.write_all(head.as_bytes()).await;
    let event = token_event("token");
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    for _ in 0..EVENTS {
        let _ = stream.write_all(chunk.as_bytes()).await;
        tokio::time::sleep(EVENT_INTERVAL).await;
    }
    let tail = usage_event(5, EVENTS as u64) + DONE_EVENT;
    let end = format!("{:x}\r\n{tail}\r\n0\r\n\r\n", tail.len());
    let _ = stream.write_all(end.as_bytes()).await;
}

async fn read_stream(address: SocketAddr, index: usize, complete: Arc<AtomicUsize>) {
    tokio::time::sleep(Duration::from_millis(3 * index as u64)).await;
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the router accepts");
    let request = chat_call("", true);
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the router reads");
    let mut buffer = [0_u8; 4_096];
    let mut last = Vec::new();
    loop {
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => last.extend_from_slice(&buffer[..count]),
            _ => return,
        }
        if last.ends_with(b"0\r\n\r\n") {
            complete.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let surplus = last.len().saturating_sub(8);
        last.drain(..surplus);
    }
}

#[test]
#[ignore = "a measurement"]
fn cost_of_streams() {
    let core = Arc::new(FakeCore::start_with(Default::default(), 4_096));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("lab")
        .enable_all()
        .build()
        .expect("a runtime");
    let listener = runtime
        .block_on(TcpListener::bind("127.0.0.1:0"))
        .expect("a port");
    let target = listener.local_addr().expect("an address");
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_stream(stream));
        }
    });
    let stop = Arc::new(AtomicBool::new(false));
    let (core_of_thread, stop_of_thread) = (Arc::clone(&core), Arc::clone(&stop));
    let core_thread = thread::spawn(move || run_core(core_of_thread, target, stop_of_thread));
    let complete = Arc::new(AtomicUsize::new(0));
    let (before, start, size) = (edge_time(), Instant::now(), resident_kib());
    let callers: Vec<_> = (0..STREAMS)
        .map(|index| runtime.spawn(read_stream(core.address(), index, Arc::clone(&complete))))
        .collect();
    thread::sleep(Duration::from_secs(3));
    let full_size = resident_kib();
    for caller in callers {
        let _ = runtime.block_on(caller);
    }
    let (spent, span) = (edge_time() - before, start.elapsed());
    stop.store(true, Ordering::Relaxed);
    core_thread.join().expect("the core ends");
    let events = STREAMS * EVENTS;
    println!(
        "streams={STREAMS} whole={} events={events} span_ms={} edge_cpu_ms={} us_per_event={:.1} \
         share_of_core={:.3} kib_per_stream_with_both_ends={}",
        complete.load(Ordering::Relaxed),
        span.as_millis(),
        spent.as_millis(),
        spent.as_secs_f64() * 1e6 / events as f64,
        spent.as_secs_f64() / span.as_secs_f64(),
        full_size.saturating_sub(size) / STREAMS as u64,
    );
    assert_eq!(complete.load(Ordering::Relaxed), STREAMS);
}

#[test]
#[ignore = "a measurement"]
fn cost_of_calls() {
    const CALLERS: usize = 8;
    const CALLS: usize = 1_000;
    let target = RawTarget::start(|connection| {
        while connection.read_request().is_some() {
            connection.answer(
                "200 OK",
                "content-type: application/json\r\n",
                &chat_answer(5, 2),
            );
        }
    });
    let core = Arc::new(FakeCore::start_with(Default::default(), 4_096));
    let stop = Arc::new(AtomicBool::new(false));
    let (core_of_thread, stop_of_thread) = (Arc::clone(&core), Arc::clone(&stop));
    let address = target.address;
    let core_thread = thread::spawn(move || run_core(core_of_thread, address, stop_of_thread));
    let before = edge_time();
    let start = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let address = core.address();
            thread::spawn(move || {
                let mut caller = RawCaller::connect(address);
                let _ = caller.stream.set_nodelay(true);
                let mut spans: Vec<Duration> = Vec::with_capacity(CALLS);
                for _ in 0..CALLS {
                    let start = Instant::now();
                    caller.write(chat_call("", false));
                    assert_eq!(caller.read_answer().status, 200);
                    spans.push(start.elapsed());
                }
                spans
            })
        })
        .collect();
    let mut spans: Vec<Duration> = Vec::new();
    for caller in callers {
        spans.extend(caller.join().expect("a caller ends"));
    }
    let (spent, span) = (edge_time() - before, start.elapsed());
    stop.store(true, Ordering::Relaxed);
    core_thread.join().expect("the core ends");
    spans.sort_unstable();
    let count = spans.len();
    println!(
        "calls={count} span_ms={} edge_cpu_ms={} us_per_call={:.0} p50_us={} p99_us={}",
        span.as_millis(),
        spent.as_millis(),
        spent.as_secs_f64() * 1e6 / count as f64,
        spans[count / 2].as_micros(),
        spans[count * 99 / 100].as_micros(),
    );
}
