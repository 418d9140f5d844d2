//! The `response_reader` module provides the interpretation of the platform's responses.

use data_encoding::BASE64;
use http::{HeaderMap, StatusCode, header};
use serde::Deserialize;

use beechsaddle_core::names::ObjectKey;
use beechsaddle_core::platform::{PlatformCall, PlatformReply, StoredObject};
use beechsaddle_wire::decode_object;

/// The header with the delay after which a throttled call may be retried, in milliseconds.
const RETRY_HEADER: &str = "retry-after-ms";

/// The longest delay that the platform may request, in milliseconds. Without a limit, one invalid
/// response could stop the journal or a ledger shard indefinitely.
const THROTTLE_MAX_MS: u64 = 60_000;

/// The relevant parts of a response's head.
#[derive(Clone, Copy, Debug)]
pub struct ResponseHead {
    status: StatusCode,
    version: Option<u64>,
    retry_after_ms: Option<u64>,
}

/// Reads the response to one call.
#[derive(Clone, Copy, Debug)]
pub struct ResponseReader<'a> {
    call: &'a PlatformCall,
    head: ResponseHead,
}

#[derive(Deserialize)]
struct PageResponse {
    revision: u64,
    objects: Vec<PageObject>,
}

#[derive(Deserialize)]
struct PageObject {
    key: ObjectKey,
    version: u64,
    #[serde(default)]
    value: Option<String>,
}

impl ResponseHead {
    pub fn read(status: StatusCode, headers: &HeaderMap) -> Self {
        ResponseHead {
            status,
            version: read_version(headers),
            retry_after_ms: read_number(headers, RETRY_HEADER),
        }
    }
}

impl<'a> ResponseReader<'a> {
    /// Creates a reader of the response to `call`.
    pub fn new(call: &'a PlatformCall, head: ResponseHead) -> Self {
        ResponseReader { call, head }
    }

    /// Returns the reply that the response represents.
    pub fn read(&self, body: &[u8]) -> PlatformReply {
        match self.head.status {
            StatusCode::OK | StatusCode::NO_CONTENT => self.read_success(body),
            StatusCode::NOT_FOUND => self.read_missing(),
            StatusCode::PRECONDITION_FAILED => PlatformReply::Conflict,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => self.read_throttle(),
            status if status.is_client_error() => PlatformReply::Invalid,
            // A server error, or a status that the API does not define, may come from a proxy that
            // already forwarded the write.
            _ => PlatformReply::Unknown,
        }
    }

    fn read_success(&self, body: &[u8]) -> PlatformReply {
        match self.call {
            PlatformCall::Read { key } => self.read_found(key, body),
            PlatformCall::Write { .. } => match self.head.version {
                Some(version) => PlatformReply::Written { version },
                // Without its version the object cannot be overwritten, so it has to be read back.
                None => PlatformReply::Unknown,
            },
            PlatformCall::Delete { .. } => PlatformReply::Deleted,
            PlatformCall::List { .. } => read_listed(body),
            PlatformCall::Watch { .. } => read_changed(body),
        }
    }

    fn read_found(&self, key: &ObjectKey, body: &[u8]) -> PlatformReply {
        match (self.head.version, decode_object(body)) {
            (Some(version), Ok(object)) => PlatformReply::Found(StoredObject {
                key: key.clone(),
                version,
                object: Some(Box::new(object)),
            }),
            (None, _) | (_, Err(_)) => PlatformReply::Invalid,
        }
    }

    fn read_missing(&self) -> PlatformReply {
        match self.call {
            PlatformCall::Read { .. } | PlatformCall::Delete { .. } => PlatformReply::Absent,
            // There is no object with the version that the write expects.
            PlatformCall::Write { .. } => PlatformReply::Conflict,
            PlatformCall::List { .. } | PlatformCall::Watch { .. } => PlatformReply::Invalid,
        }
    }

    fn read_throttle(&self) -> PlatformReply {
        match self.head.retry_after_ms {
            Some(retry_after_ms) => PlatformReply::Throttled {
                retry_after_ms: retry_after_ms.min(THROTTLE_MAX_MS),
            },
            // Only the platform itself sends `retry-after-ms`, and only before anything takes
            // effect; without it the call may have taken effect.
            None => PlatformReply::Unknown,
        }
    }
}

fn read_listed(body: &[u8]) -> PlatformReply {
    let Ok(page) = serde_json::from_slice::<PageResponse>(body) else {
        return PlatformReply::Invalid;
    };
    let objects = page.objects.into_iter().map(|object| StoredObject {
        key: object.key,
        version: object.version,
        object: None,
    });
    PlatformReply::Listed {
        objects: objects.collect(),
        revision: page.revision,
    }
}

fn read_changed(body: &[u8]) -> PlatformReply {
    let Ok(page) = serde_json::from_slice::<PageResponse>(body) else {
        return PlatformReply::Invalid;
    };
    // Objects that cannot be decoded are skipped. If the whole page were invalid, the watch would
    // receive it again each time and never see later changes. A component that needs the object
    // detects the gap, reads the object and gets the error then.
    let objects = page.objects.into_iter().filter_map(read_change);
    PlatformReply::Changed {
        objects: objects.collect(),
        revision: page.revision,
    }
}

fn read_change(changed: PageObject) -> Option<StoredObject> {
    let object = match changed.value {
        None => None,
        Some(text) => {
            let bytes = BASE64.decode(text.as_bytes()).ok()?;
            Some(Box::new(decode_object(&bytes).ok()?))
        }
    };
    Some(StoredObject {
        key: changed.key,
        version: changed.version,
        object,
    })
}

fn read_version(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::ETAG)?.to_str().ok()?;
    let text = value.strip_prefix('"')?.strip_suffix('"')?;
    text.parse().ok()
}

fn read_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
