//! The `platform_client` module provides the client of the platform's object API.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use http::Method;
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;
use volo_http::client::{Client, RequestBuilder};
use volo_http::error::ClientError;

use beechsaddle_core::names::{ObjectKey, RouterIncarnation};
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::platform::{PlatformCall, PlatformReply, WriteGuard};
use beechsaddle_wire::encode_object;

use super::platform_options::PlatformOptions;
use super::response_reader::{ResponseHead, ResponseReader};
use crate::operator::ObjectStore;

/// The largest response body that is read, in bytes. A page of a watch has at most 4 MB of values,
/// a third more in base64.
const BODY_BYTES_MAX: usize = 8_000_000;

/// The header that identifies the calling router to the platform.
const ROUTER_HEADER: &str = "beechsaddle-router";

/// Calls the platform's object API. Every call ends within its time limit, in exactly one reply.
#[derive(Clone)]
pub struct PlatformClient {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
    caller: String,
}

impl PlatformClient {
    /// Creates a client. `caller` is the router, or `None` for an operator's command.
    pub fn try_new(
        options: &PlatformOptions,
        caller: Option<&RouterIncarnation>,
    ) -> eyre::Result<Self> {
        let client = Client::builder()
            .build()
            .wrap_err("cannot make an HTTP client")?;
        Ok(PlatformClient {
            client,
            address: options.address,
            timeout: Duration::from_millis(options.timeout_ms),
            caller: caller.map(ToString::to_string).unwrap_or_default(),
        })
    }

    pub async fn read(&self, key: impl Into<ObjectKey>) -> PlatformReply {
        self.call(&PlatformCall::Read { key: key.into() }).await
    }

    pub async fn write(
        &self,
        key: impl Into<ObjectKey>,
        object: PlatformObject,
        guard: WriteGuard,
    ) -> PlatformReply {
        let call = PlatformCall::Write {
            key: key.into(),
            object: Box::new(object),
            guard,
        };
        self.call(&call).await
    }

    /// Deletes one object if it has the given version.
    pub async fn delete(&self, key: impl Into<ObjectKey>, version: u64) -> PlatformReply {
        let call = PlatformCall::Delete {
            key: key.into(),
            version,
        };
        self.call(&call).await
    }

    /// Lists at most 1,000 keys under a prefix, after the key `after`.
    pub async fn list(
        &self,
        prefix: impl Into<ObjectKey>,
        after: Option<ObjectKey>,
    ) -> PlatformReply {
        let call = PlatformCall::List {
            prefix: prefix.into(),
            after,
        };
        self.call(&call).await
    }

    pub async fn call(&self, call: &PlatformCall) -> PlatformReply {
        let time_limit = match call {
            PlatformCall::Watch { .. } => Duration::from_millis(PlatformOptions::WATCH_MS),
            PlatformCall::Read { .. }
            | PlatformCall::Write { .. }
            | PlatformCall::Delete { .. }
            | PlatformCall::List { .. } => self.timeout,
        };
        // If the platform accepted a write and never responded, the ticket and the budget that
        // waits for it would be blocked. When the time limit expires, the write may have taken
        // effect, or may still do so.
        match timeout(time_limit, self.exchange(call)).await {
            Ok(reply) => reply,
            Err(_) => PlatformReply::Unknown,
        }
    }

    async fn exchange(&self, call: &PlatformCall) -> PlatformReply {
        let Some(request) = self.request(call) else {
            return PlatformReply::Invalid;
        };
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => return failure_reply(&error),
        };
        let (parts, body) = response.into_parts();
        let head = ResponseHead::read(parts.status, &parts.headers);
        // A truncated response is discarded: after a write the result is unknown, and a partial
        // value must not be used as the value.
        let Ok(body) = Limited::new(body, BODY_BYTES_MAX).collect().await else {
            return PlatformReply::Unknown;
        };
        ResponseReader::new(call, head).read(&body.to_bytes())
    }

    /// Returns the request of a call, or `None` if the call cannot be sent.
    fn request(&self, call: &PlatformCall) -> Option<RequestBuilder<Client>> {
        match call {
            PlatformCall::Read { key } => self.start_request(Method::GET, &object_path(key)?),
            PlatformCall::Write { key, object, guard } => {
                let (name, value) = guard_header(*guard);
                let bytes = encode_object(object).ok()?;
                let request = self.start_request(Method::PUT, &object_path(key)?)?;
                Some(request.header(name, value).data(Bytes::from(bytes)))
            }
            PlatformCall::Delete { key, version } => {
                let (name, value) = guard_header(WriteGuard::Version(*version));
                let request = self.start_request(Method::DELETE, &object_path(key)?)?;
                Some(request.header(name, value))
            }
            PlatformCall::List { prefix, after } => {
                let mut path = format!("/list?prefix={}", checked_key(prefix)?);
                if let Some(after) = after {
                    path.push_str("&after=");
                    path.push_str(checked_key(after)?);
                }
                self.start_request(Method::GET, &path)
            }
            PlatformCall::Watch { prefix, after } => {
                let path = format!("/watch?prefix={}&after={after}", checked_key(prefix)?);
                self.start_request(Method::GET, &path)
            }
        }
    }

    fn start_request(&self, method: Method, path: &str) -> Option<RequestBuilder<Client>> {
        let uri = format!("http://{}{path}", self.address);
        let request = self.client.request(method, uri);
        Some(request.header(ROUTER_HEADER, self.caller.as_str()))
    }
}

impl ObjectStore for PlatformClient {
    async fn call(&self, call: &PlatformCall) -> PlatformReply {
        PlatformClient::call(self, call).await
    }
}

impl fmt::Debug for PlatformClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "PlatformClient({})", self.address)
    }
}

/// Returns the reply for a call without a response.
fn failure_reply(error: &ClientError) -> PlatformReply {
    let mut source = std::error::Error::source(error);
    // A lost response must not be reported as a failed connect: the core would assume that a write
    // did not take effect when it did, and grant or bill twice. Only an `io::Error` directly below
    // the client's error comes from the connect. Later errors are wrapped by hyper.
    if let Some(cause) = source.take()
        && cause.is::<io::Error>()
    {
        return PlatformReply::Unreachable;
    }
    PlatformReply::Unknown
}

fn guard_header(guard: WriteGuard) -> (&'static str, String) {
    match guard {
        WriteGuard::Absent => ("if-none-match", "*".to_owned()),
        WriteGuard::Version(version) => ("if-match", format!("\"{version}\"")),
    }
}

fn object_path(key: &ObjectKey) -> Option<String> {
    Some(format!("/objects/{}", checked_key(key)?))
}

/// Returns the key as text, or `None` if it has a character that is not allowed in keys: in a path
/// or query, such a character could name another object.
fn checked_key(key: &ObjectKey) -> Option<&str> {
    let text = key.as_str();
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._@-/".contains(&byte);
    text.bytes().all(allowed).then_some(text)
}
