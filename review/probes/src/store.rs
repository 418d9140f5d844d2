//! A small store that speaks the users' page: objects with revisions, listings, watches and writes under
//! a condition. Contents are kept as the text that was written.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::record::Record;

const PREFIX: &str = "/beechsaddle/objects/";

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    created: u64,
    spec: String,
}

impl Object {
    fn text(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created-rev\":{},\"finalizers\":[],\
             \"deleting\":false}},\"spec\":{},\"status\":null}}",
            Value::from(self.name.clone()),
            self.revision,
            self.created,
            self.spec
        )
    }
}

#[derive(Default)]
struct Inner {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    history: Vec<(u64, String, String)>,
    watch_limit: Option<Duration>,
    cut_watches: u64,
}

/// The store; it runs as long as the runtime.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    changed: watch::Sender<u64>,
    pub address: SocketAddr,
    record: Record,
}

enum Answer {
    Json(u16, String),
    /// The connection ends without an answer.
    Cut,
}

impl Store {
    pub async fn start(record: Record) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let store = Store {
            inner: Arc::default(),
            changed: watch::Sender::new(0),
            address: listener.local_addr().expect("an address"),
            record,
        };
        let server = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        store
    }

    /// Cuts watches off that have waited for this long; `None` lets them wait as long as they ask.
    pub fn set_watch_limit(&self, limit: Option<Duration>) {
        self.inner.lock().expect("a lock").watch_limit = limit;
        self.changed.send_modify(|count| *count += 1);
    }

    /// The number of watches that were cut off.
    pub fn cut_watches(&self) -> u64 {
        self.inner.lock().expect("a lock").cut_watches
    }

    /// Writes an object whose content is any JSON text.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.inner.lock().expect("a lock").put(kind, name, spec);
        self.changed.send_modify(|count| *count += 1);
        self.record
            .line(&format!("store accepted {kind}/{name}: {}", short(spec)));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut inner = self.inner.lock().expect("a lock");
        let removed = inner.kinds.get_mut(kind).and_then(|kind| kind.remove(name));
        if let Some(object) = removed {
            inner.revision += 1;
            let event = format!("{{\"object\":{},\"deleted\":true}}", object.text());
            let revision = inner.revision;
            inner.history.push((revision, kind.to_owned(), event));
        }
        drop(inner);
        self.changed.send_modify(|count| *count += 1);
        self.record.line(&format!("store removed {kind}/{name}"));
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        while let Some((line, body)) = read_request(&mut stream, &mut bytes).await {
            let mut words = line.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let Answer::Json(status, text) = self.answer(method, target, &body).await else {
                return;
            };
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            let mut reply = head.into_bytes();
            reply.extend_from_slice(text.as_bytes());
            if stream.write_all(&reply).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, method: &str, target: &str, body: &[u8]) -> Answer {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix(PREFIX) else {
            return Answer::Json(404, "null".to_owned());
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        match method {
            "GET" => self.read(kind, name, query).await,
            _ => self.write(method, kind, name, body),
        }
    }

    async fn read(&self, kind: &str, name: &str, query: &str) -> Answer {
        if let Some(after) = number(query, "watch") {
            return self
                .watch(kind, after, number(query, "wait-ms").unwrap_or(0))
                .await;
        }
        let inner = self.inner.lock().expect("a lock");
        let objects = inner.kinds.get(kind);
        if !name.is_empty() {
            return match objects.and_then(|objects| objects.get(name)) {
                Some(object) => Answer::Json(200, object.text()),
                None => Answer::Json(404, "null".to_owned()),
            };
        }
        let items: Vec<_> = objects
            .into_iter()
            .flat_map(|o| o.values())
            .map(Object::text)
            .collect();
        let text = format!(
            "{{\"items\":[{}],\"truncated\":false,\"as-of\":{}}}",
            items.join(","),
            inner.revision
        );
        Answer::Json(200, text)
    }

    async fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Answer {
        let begun = Instant::now();
        let deadline = begun + Duration::from_millis(wait_ms.min(30_000));
        let mut changed = self.changed.subscribe();
        loop {
            let until = {
                let mut inner = self.inner.lock().expect("a lock");
                let newer = inner
                    .history
                    .iter()
                    .filter(|(at, of, _)| *at > after && of == kind);
                let events: Vec<_> = newer.map(|(_, _, event)| event.clone()).collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    let (events, as_of) = (events.join(","), inner.revision);
                    return Answer::Json(
                        200,
                        format!("{{\"events\":[{events}],\"as-of\":{as_of}}}"),
                    );
                }
                let cut_at = inner.watch_limit.map(|limit| begun + limit);
                if cut_at.is_some_and(|cut_at| Instant::now() >= cut_at) {
                    inner.cut_watches += 1;
                    return Answer::Cut;
                }
                cut_at.map_or(deadline, |cut_at| cut_at.min(deadline))
            };
            let _ = timeout_at(until, changed.changed()).await;
        }
    }

    fn write(&self, method: &str, kind: &str, name: &str, body: &[u8]) -> Answer {
        let draft: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let spec = draft["spec"].to_string();
        let revision = draft["metadata"]["revision"].as_u64();
        let name = draft["metadata"]["name"]
            .as_str()
            .unwrap_or(name)
            .to_owned();
        let mut inner = self.inner.lock().expect("a lock");
        let known = inner
            .kinds
            .get(kind)
            .and_then(|kind| kind.get(&name))
            .cloned();
        let answer = match (method, known) {
            ("POST", Some(object)) => Answer::Json(409, object.text()),
            ("POST", None) => Answer::Json(200, inner.put(kind, &name, &spec)),
            ("PUT", None) => Answer::Json(404, "null".to_owned()),
            ("PUT", Some(object)) if revision.is_some_and(|asked| asked != object.revision) => {
                Answer::Json(409, object.text())
            }
            ("PUT", Some(object)) if object.spec == spec => Answer::Json(200, object.text()),
            ("PUT", Some(_)) => Answer::Json(200, inner.put(kind, &name, &spec)),
            _ => Answer::Json(404, "null".to_owned()),
        };
        drop(inner);
        self.changed.send_modify(|count| *count += 1);
        answer
    }
}

impl Inner {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.revision += 1;
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        let created = objects
            .get(name)
            .map_or(self.revision, |object| object.created);
        let object = Object {
            name: name.to_owned(),
            revision: self.revision,
            created,
            spec: spec.to_owned(),
        };
        let text = object.text();
        objects.insert(name.to_owned(), object);
        let event = format!("{{\"object\":{text},\"deleted\":false}}");
        self.history.push((self.revision, kind.to_owned(), event));
        text
    }
}

fn number(query: &str, name: &str) -> Option<u64> {
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| value.parse().ok())?
    })
}

fn short(text: &str) -> String {
    text.chars().take(160).collect()
}

/// Reads one request; returns its first line and its body.
async fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length")
                    .then(|| value.trim().parse().ok())?
            });
            let total = end + 4 + length.unwrap_or(0);
            while bytes.len() < total {
                read_more(stream, bytes).await?;
            }
            let body = bytes[end + 4..total].to_vec();
            bytes.drain(..total);
            return Some((head.lines().next().unwrap_or("").to_owned(), body));
        }
        read_more(stream, bytes).await?;
    }
}

async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 8_192];
    match stream.read(&mut part).await {
        Ok(0) | Err(_) => None,
        Ok(count) => {
            bytes.extend_from_slice(&part[..count]);
            Some(())
        }
    }
}
