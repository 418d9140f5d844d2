//! The `platform_service` module provides the request handling of the platform stand-in.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use beechsaddle_wire::OBJECT_BYTES_MAX;
use bytes::Bytes;
use data_encoding::BASE64;
use http::{Method, Request, StatusCode};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use super::object_call::ObjectCall;
use super::object_store::{ChangeGuard, ChangeOutcome, ObjectPage, StoredValue};
use super::platform_counters::PlatformCounters;
use super::platform_faults::{CallScope, PlatformFault, PlatformFaults};
use super::platform_options::PlatformOptions;
use super::platform_state::{PlatformState, WaitingWatch, change, lock};
use crate::stand_in::listen_gate::ListenGate;
use crate::stand_in::random_source::RandomSource;
use crate::stand_in::responses;
use crate::stand_in::stand_in_server::{StandInResponse, StandInService};

/// Serves the object API and the control calls `/faults` and `/counters`.
pub struct PlatformService {
    state: Arc<Mutex<PlatformState>>,
    revision: Arc<watch::Sender<u64>>,
    faults_changed: watch::Sender<()>,
    random: RandomSource,
    gate: ListenGate,
    watch_wait: Duration,
}

impl PlatformService {
    pub(super) fn new(options: PlatformOptions, gate: ListenGate) -> Self {
        let (revision, _) = watch::channel(0);
        let (faults_changed, _) = watch::channel(());
        let service = PlatformService {
            state: Arc::new(Mutex::new(PlatformState::new())),
            revision: Arc::new(revision),
            faults_changed,
            random: RandomSource::new(options.seed),
            gate,
            watch_wait: Duration::from_millis(options.watch_wait_ms),
        };
        service.set_faults(options.faults);
        service
    }

    pub(super) fn set_faults(&self, faults: PlatformFaults) {
        if faults.refuse_ms > 0 {
            self.gate
                .refuse_for(Duration::from_millis(faults.refuse_ms));
        } else {
            self.gate.open();
        }
        let mut state = self.lock();
        state.faults = faults;
        state.faults_since = Instant::now();
        drop(state);
        self.faults_changed.send_replace(());
    }

    pub(super) fn counters(&self) -> PlatformCounters {
        self.lock().counters.clone()
    }

    pub(super) fn version(&self, key: &str) -> Option<u64> {
        self.lock().store.get(key).map(|stored| stored.version)
    }

    pub(super) fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.lock();
        let stored = state.store.get(key)?;
        stored.value.as_ref().map(|bytes| bytes.to_vec())
    }

    pub(super) fn change(&self, key: &str, value: Vec<u8>, guard: ChangeGuard) -> Option<u64> {
        match change(&self.state, &self.revision, key, Some(value.into()), guard) {
            ChangeOutcome::Changed(version) => Some(version),
            ChangeOutcome::Conflict | ChangeOutcome::Missing => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        lock(&self.state)
    }

    fn control(&self, request: &Request<Bytes>) -> Option<StandInResponse> {
        let path = request.uri().path();
        if path == "/counters" {
            return Some(responses::json(StatusCode::OK, &self.counters()));
        }
        if path != "/faults" {
            return None;
        }
        if request.method() == Method::DELETE {
            self.set_faults(PlatformFaults::default());
            return Some(responses::status(StatusCode::OK));
        }
        match serde_json::from_slice(request.body()) {
            Ok(faults) => {
                self.set_faults(faults);
                Some(responses::status(StatusCode::OK))
            }
            Err(error) => Some(responses::bytes(StatusCode::BAD_REQUEST, error.to_string())),
        }
    }

    fn throttle(&self, call: &ObjectCall) -> Option<StandInResponse> {
        let mut state = self.lock();
        let now = Instant::now();
        let limits = state.faults.limits;
        let acquired = match call.scope {
            CallScope::Writes => state.writes.try_acquire(limits.writes_per_second, now),
            CallScope::All | CallScope::Reads | CallScope::Watches => {
                state.reads.try_acquire(limits.reads_per_second, now)
            }
        };
        let retry_after_ms = acquired.err()?;
        state.counters.throttled += 1;
        Some(responses::retry_after(
            StatusCode::TOO_MANY_REQUESTS,
            retry_after_ms,
        ))
    }

    fn choose_fault(&self, call: &ObjectCall) -> Option<PlatformFault> {
        let host = call.host();
        let mut state = self.lock();
        let age_ms = state.faults_since.elapsed().as_millis() as u64;
        let fault = state
            .faults
            .rules
            .iter()
            .filter(|rule| rule.for_ms.is_none_or(|span| age_ms < span))
            .find(|rule| rule.matches(call.scope, &call.key, host))
            .filter(|rule| self.random.draw(rule.permille))
            .map(|rule| rule.fault)?;
        state.counters.faulted += 1;
        Some(fault)
    }

    async fn answer_call(&self, call: ObjectCall) -> StandInResponse {
        self.lock().counters.count(&call);
        if let Some(response) = self.throttle(&call) {
            return response;
        }
        let Some(fault) = self.choose_fault(&call) else {
            return self.take_effect(call).await;
        };
        match fault {
            PlatformFault::Close => StandInResponse::Close,
            PlatformFault::Unavailable { retry_after_ms } => {
                responses::retry_after(StatusCode::SERVICE_UNAVAILABLE, retry_after_ms)
            }
            PlatformFault::Hang => std::future::pending().await,
            PlatformFault::LostAnswer => {
                self.take_effect(call).await;
                StandInResponse::Close
            }
            PlatformFault::LateWrite { late_ms } => {
                self.write_later(call, late_ms);
                StandInResponse::Close
            }
            PlatformFault::Delay { ms } => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                self.take_effect(call).await
            }
            PlatformFault::Garbage => responses::bytes(StatusCode::OK, "garbage"),
        }
    }

    async fn take_effect(&self, call: ObjectCall) -> StandInResponse {
        match (call.is_collection, call.scope) {
            (true, CallScope::Watches) => self.watch(&call).await,
            (true, _) => self.list(&call),
            (false, CallScope::Writes) => self.write(&call),
            (false, _) => self.read(&call),
        }
    }

    fn read(&self, call: &ObjectCall) -> StandInResponse {
        let mut state = self.lock();
        let Some(stored) = state.store.get(&call.key).cloned() else {
            return responses::status(StatusCode::NOT_FOUND);
        };
        let value = stored.value.unwrap_or_default();
        state.counters.bytes_out += value.len() as u64;
        with_version(responses::bytes(StatusCode::OK, value), stored.version)
    }

    fn write(&self, call: &ObjectCall) -> StandInResponse {
        if call.body.len() > OBJECT_BYTES_MAX {
            return responses::status(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let Some(guard) = call.guard() else {
            return responses::bytes(StatusCode::BAD_REQUEST, "a condition is required");
        };
        let value = call.written_value();
        let deletes = value.is_none();
        match change(&self.state, &self.revision, &call.key, value, guard) {
            ChangeOutcome::Changed(_) if deletes => responses::status(StatusCode::NO_CONTENT),
            ChangeOutcome::Changed(version) => {
                with_version(responses::status(StatusCode::OK), version)
            }
            ChangeOutcome::Conflict => responses::status(StatusCode::PRECONDITION_FAILED),
            ChangeOutcome::Missing => responses::status(StatusCode::NOT_FOUND),
        }
    }

    fn write_later(&self, call: ObjectCall, late_ms: u64) {
        let Some(guard) = call.guard() else {
            return;
        };
        let state = Arc::clone(&self.state);
        let revision = Arc::clone(&self.revision);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(late_ms)).await;
            let value = call.written_value();
            change(&state, &revision, &call.key, value, guard);
        });
    }

    fn list(&self, call: &ObjectCall) -> StandInResponse {
        let mut state = self.lock();
        let page = state.store.list(&call.key, call.after.as_deref());
        page_response(
            &mut state.counters,
            &page,
            |key, stored| json!({"key": key, "version": stored.version}),
        )
    }

    async fn watch(&self, call: &ObjectCall) -> StandInResponse {
        let after = call.after.as_deref().and_then(|text| text.parse().ok());
        let Some(after) = after else {
            return responses::bytes(StatusCode::BAD_REQUEST, "a revision is required");
        };
        let _waiting = WaitingWatch::new(Arc::clone(&self.state));
        let changed = timeout(self.watch_wait, self.wait_for_change(&call.key, after));
        let page = tokio::select! {
            changed = changed => changed,
            () = self.wait_for_fault(call) => return StandInResponse::Close,
        };
        let page = page.unwrap_or_else(|_| self.lock().store.changed_after(&call.key, after));
        let mut state = self.lock();
        page_response(&mut state.counters, &page, |key, stored| {
            let value = stored.value.as_ref().map(|bytes| BASE64.encode(bytes));
            json!({"key": key, "version": stored.version, "value": value})
        })
    }

    /// Waits until a new fault applies to a waiting watch: an outage also ends watches that began
    /// before it.
    async fn wait_for_fault(&self, call: &ObjectCall) {
        let mut faults_changed = self.faults_changed.subscribe();
        loop {
            // The channel stays open: its sender belongs to this service.
            let _ = faults_changed.changed().await;
            if self.choose_fault(call).is_some() {
                return;
            }
        }
    }

    async fn wait_for_change(&self, prefix: &str, after: u64) -> ObjectPage {
        let mut revision = self.revision.subscribe();
        loop {
            revision.borrow_and_update();
            let page = self.lock().store.changed_after(prefix, after);
            if !page.objects.is_empty() {
                return page;
            }
            // The channel stays open: its sender belongs to this service.
            let _ = revision.changed().await;
        }
    }
}

impl StandInService for PlatformService {
    async fn respond(&self, request: Request<Bytes>) -> StandInResponse {
        if let Some(response) = self.control(&request) {
            return response;
        }
        match ObjectCall::read(request) {
            Some(call) => self.answer_call(call).await,
            None => responses::status(StatusCode::BAD_REQUEST),
        }
    }
}

impl fmt::Debug for PlatformService {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PlatformService")
    }
}

fn page_response(
    counters: &mut PlatformCounters,
    page: &ObjectPage,
    line: impl Fn(&str, &StoredValue) -> Value,
) -> StandInResponse {
    let objects: Vec<Value> = page
        .objects
        .iter()
        .map(|(key, stored)| line(key, stored))
        .collect();
    let body = json!({"revision": page.revision, "objects": objects}).to_string();
    counters.bytes_out += body.len() as u64;
    responses::bytes(StatusCode::OK, body)
}

fn with_version(original: StandInResponse, version: u64) -> StandInResponse {
    match original {
        StandInResponse::Reply(mut response) => {
            responses::set_header(&mut response, "etag", &format!("\"{version}\""));
            StandInResponse::Reply(response)
        }
        StandInResponse::Close => StandInResponse::Close,
    }
}
