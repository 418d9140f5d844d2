//! A front before the store's stand-in: it answers like the store of the platform's pages, with a delay and
//! with listings in pages, and it can name other addresses of targets, those of a router's own paths.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The time that the store takes to answer, as the sheet says.
const ANSWER_DELAY: Duration = Duration::from_millis(4);

const OBJECTS_PATH: &str = "/beechsaddle/objects/";

/// The front of a store. It runs until the runtime ends.
#[derive(Clone)]
pub struct Front {
    pub address: SocketAddr,
    store: SocketAddr,
    page_items: usize,
    /// Addresses of targets as a router behind this front is told them: those of its own paths.
    paths: Arc<Vec<(SocketAddr, SocketAddr)>>,
}

impl Front {
    pub async fn try_start(store: SocketAddr, page_items: usize) -> io::Result<Self> {
        Front::try_start_with_paths(store, page_items, Vec::new()).await
    }

    /// Starts a front that names the addresses of `paths` in place of those of targets.
    pub async fn try_start_with_paths(
        store: SocketAddr,
        page_items: usize,
        paths: Vec<(SocketAddr, SocketAddr)>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let front = Front {
            address: listener.local_addr()?,
            store,
            page_items,
            paths: Arc::new(paths),
        };
        tokio::spawn(front.clone().run(listener));
        Ok(front)
    }

    async fn run(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let front = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| front.respond(request));
                // Ends with an error where the router leaves.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> io::Result<Response<Full<Bytes>>> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let target = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let query = parts.uri.query().unwrap_or_default().to_owned();
        let answer = forward(self.store, &parts.method, target, &body);
        if query.contains("watch=") {
            let (status, text) = answer.await?;
            return respond_with((status, self.rename(text)));
        }
        sleep(ANSWER_DELAY).await;
        let kind = parts.uri.path().strip_prefix(OBJECTS_PATH).unwrap_or("");
        let is_listing = parts.method == Method::GET && !kind.is_empty() && !kind.contains('/');
        let (status, text) = answer.await?;
        let text = self.rename(text);
        match is_listing {
            true => respond_with((status, self.page(&query, &text)?)),
            false => respond_with((status, text)),
        }
    }

    fn rename(&self, text: Vec<u8>) -> Vec<u8> {
        let mut text = String::from_utf8_lossy(&text).into_owned();
        for (target, path) in self.paths.iter() {
            text = text.replace(&format!("\"{target}\""), &format!("\"{path}\""));
        }
        text.into_bytes()
    }

    /// Returns one page of a listing, as it is now.
    fn page(&self, query: &str, text: &[u8]) -> io::Result<Vec<u8>> {
        let listing: Value = serde_json::from_slice(text)?;
        let after = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("after="));
        let all = listing["items"].as_array().cloned().unwrap_or_default();
        let name = |item: &Value| item["metadata"]["name"].as_str().unwrap_or("").to_owned();
        let rest: Vec<Value> = all
            .into_iter()
            .filter(|item| after.is_none_or(|after| name(item).as_str() > after))
            .collect();
        let is_truncated = rest.len() > self.page_items;
        let items: Vec<Value> = rest.into_iter().take(self.page_items).collect();
        let page = json!({
            "items": items, "truncated": is_truncated, "as-of": listing["as-of"],
        });
        Ok(page.to_string().into_bytes())
    }
}

fn respond_with((status, text): (StatusCode, Vec<u8>)) -> io::Result<Response<Full<Bytes>>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    Ok(response)
}

/// Sends one call to the store's stand-in.
async fn forward(
    store: SocketAddr,
    method: &Method,
    target: &str,
    body: &[u8],
) -> io::Result<(StatusCode, Vec<u8>)> {
    let mut stream = TcpStream::connect(store).await?;
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: store\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body).await?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    let end = bytes
        .windows(4)
        .position(|part| part == b"\r\n\r\n")
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    let line = String::from_utf8_lossy(&bytes[..end]);
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    Ok((status, bytes[end + 4..].to_vec()))
}
