//! A replica in a process of its own, which can be killed as one: `review-probes-2 replica NAME`. It answers
//! with streams of `EVENTS` events, as PROTOCOL.md describes them, and writes each event in one piece. One in
//! twenty answers has no length and ends with its connection; the others are in chunks. It prints its address.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

pub const EVENTS: u64 = 40;
/// One in so many answers has no length.
const UNFRAMED_EACH: u64 = 20;
const FIRST: Duration = Duration::from_millis(80);
const GAP: Duration = Duration::from_millis(40);

pub async fn serve(name: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    println!("{}", listener.local_addr().expect("an address"));
    let count = Arc::new(AtomicU64::new(0));
    while let Ok((stream, _)) = listener.accept().await {
        let (name, count) = (name.to_owned(), Arc::clone(&count));
        tokio::spawn(async move {
            let _ = answer(stream, &name, &count).await;
        });
    }
}

async fn answer(mut stream: TcpStream, name: &str, count: &AtomicU64) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut bytes = Vec::new();
    loop {
        let (head, rest) = loop {
            if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
                break (head, bytes.split_off(end + 4));
            }
            let mut part = [0; 4_096];
            match stream.read(&mut part).await? {
                0 => return Ok(()),
                read => bytes.extend_from_slice(&part[..read]),
            }
        };
        let header = |wanted: &str| {
            head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case(wanted).then(|| value.trim().to_owned())
            })
        };
        let length = header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        bytes = rest;
        while bytes.len() < length {
            let mut part = [0; 4_096];
            match stream.read(&mut part).await? {
                0 => return Ok(()),
                read => bytes.extend_from_slice(&part[..read]),
            }
        }
        bytes.drain(..length);
        let id = header("x-beechsaddle-attempt-id").unwrap_or_default();
        if header("x-beechsaddle-target-instance").is_some_and(|wanted| wanted != name) {
            let other = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Beechsaddle-Instance-Id: {name}\r\n\
                 X-Beechsaddle-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(other.as_bytes()).await?;
            continue;
        }
        let number = count.fetch_add(1, Ordering::Relaxed);
        let is_unframed = number % UNFRAMED_EACH == UNFRAMED_EACH - 1;
        let first = header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0_u64);
        let framing = match is_unframed {
            true => "Connection: close\r\n",
            false => "Transfer-Encoding: chunked\r\n",
        };
        sleep(FIRST).await;
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Beechsaddle-Attempt-Id: {id}\r\nX-Beechsaddle-Server-Seal: seal-{name}\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        for event in first + 1..=EVENTS {
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            let piece = match is_unframed {
                true => text,
                false => format!("{:x}\r\n{text}\r\n", text.len()),
            };
            stream.write_all(piece.as_bytes()).await?;
            sleep(GAP).await;
        }
        if is_unframed {
            return stream.shutdown().await;
        }
        stream.write_all(b"0\r\n\r\n").await?;
    }
}
