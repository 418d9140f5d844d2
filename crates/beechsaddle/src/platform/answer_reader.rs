//! The `answer_reader` module provides the meaning of the platform's answers.

use data_encoding::BASE64;
use http::{HeaderMap, StatusCode, header};
use serde::Deserialize;

use beechsaddle_core::names::ObjectKey;
use beechsaddle_core::platform::{PlatformCall, PlatformReply, StoredObject};
use beechsaddle_wire::decode_object;

/// Says when a throttled call may come back, in milliseconds.
const RETRY_HEADER: &str = "retry-after-ms";

/// The longest time that the platform may ask to stay away, in milliseconds. One broken answer would
/// otherwise stop the journal or a ledger shard for ever.
const LONGEST_THROTTLE_MS: u64 = 60_000;

/// What is used of an answer's head.
#[derive(Clone, Copy, Debug)]
pub struct AnswerHead {
    status: StatusCode,
    version: Option<u64>,
    retry_after_ms: Option<u64>,
}

/// Reads the answer to one call.
#[derive(Clone, Copy, Debug)]
pub struct AnswerReader<'a> {
    call: &'a PlatformCall,
    head: AnswerHead,
}

#[derive(Deserialize)]
struct PageAnswer {
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

impl AnswerHead {
    /// Reads a head.
    pub fn read(status: StatusCode, headers: &HeaderMap) -> Self {
        AnswerHead {
            status,
            version: read_version(headers),
            retry_after_ms: read_number(headers, RETRY_HEADER),
        }
    }
}

impl<'a> AnswerReader<'a> {
    /// Reads the answer to `call`.
    pub fn new(call: &'a PlatformCall, head: AnswerHead) -> Self {
        AnswerReader { call, head }
    }

    /// The reply that the answer is.
    pub fn read(&self, body: &[u8]) -> PlatformReply {
        match self.head.status {
            StatusCode::OK | StatusCode::NO_CONTENT => self.read_success(body),
            StatusCode::NOT_FOUND => self.read_missing(),
            StatusCode::PRECONDITION_FAILED => PlatformReply::Conflict,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => self.read_throttle(),
            status if status.is_client_error() => PlatformReply::Invalid,
            // A server error, or an answer that the API does not know, may come from something
            // between here and the platform, after the write was handed on.
            _ => PlatformReply::Unknown,
        }
    }

    fn read_success(&self, body: &[u8]) -> PlatformReply {
        match self.call {
            PlatformCall::Read { key } => self.read_found(key, body),
            PlatformCall::Write { .. } => match self.head.version {
                Some(version) => PlatformReply::Written { version },
                // Without its version the object can't be written again: it has to be read back.
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
            // There is no object at the version that the write was made on.
            PlatformCall::Write { .. } => PlatformReply::Conflict,
            PlatformCall::List { .. } | PlatformCall::Watch { .. } => PlatformReply::Invalid,
        }
    }

    fn read_throttle(&self) -> PlatformReply {
        match self.head.retry_after_ms {
            Some(retry_after_ms) => PlatformReply::Throttled {
                retry_after_ms: retry_after_ms.min(LONGEST_THROTTLE_MS),
            },
            // Only the platform itself sends the header, before anything takes effect.
            None => PlatformReply::Unknown,
        }
    }
}

fn read_listed(body: &[u8]) -> PlatformReply {
    let Ok(page) = serde_json::from_slice::<PageAnswer>(body) else {
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
    let Ok(page) = serde_json::from_slice::<PageAnswer>(body) else {
        return PlatformReply::Invalid;
    };
    // An object that can't be decoded is left out. If the whole page were invalid, the watch would
    // meet it again for ever and never see what comes after it. Who needs the object finds the gap
    // and reads it, and is told then.
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
