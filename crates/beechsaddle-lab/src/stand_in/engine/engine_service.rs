//! The `engine_service` module provides the state and behaviour of the engine stand-in.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use beechsaddle_core::hash::prefix_chain;
use beechsaddle_core::target::LoadReport;

use super::chat_completion::ChatCompletion;
use super::chat_proof::ChatProof;
use super::chat_request::ChatRequest;
use super::engine_options::EngineOptions;
use super::load_history::LoadHistory;
use super::order_manager::{EngineOrder, OrderManager, OrderOutcome};
use super::prefix_cache::PrefixCache;
use crate::stand_in::listen_gate::ListenGate;
use crate::stand_in::random_source::RandomSource;
use crate::stand_in::responses;
use crate::stand_in::stand_in_server::StandInResponse;
use crate::stand_in::target_control::TargetControl;
use crate::stand_in::target_faults::{TargetFault, TargetScope};

/// The engine behind the HTTP interface: its batch, prefix cache, load history and orders.
pub(super) struct EngineService {
    pub(super) control: TargetControl,
    options: EngineOptions,
    gaps: RandomSource,
    batch: Arc<Semaphore>,
    state: Mutex<EngineParts>,
}

struct EngineParts {
    running: u32,
    waiting: u32,
    cache: PrefixCache,
    loads: LoadHistory,
    orders: OrderManager,
}

/// A slot in the engine's batch or in the queue for it; dropping it releases the slot.
pub(super) struct BatchSlot {
    service: Arc<EngineService>,
    permit: Option<OwnedSemaphorePermit>,
}

impl EngineService {
    pub(super) fn new(options: EngineOptions, gate: ListenGate) -> Self {
        let parts = EngineParts {
            running: 0,
            waiting: 0,
            cache: PrefixCache::new(options.cache_blocks, options.event_lag_ms),
            loads: LoadHistory::new(options.load_lag_ms),
            orders: OrderManager::new(&options),
        };
        EngineService {
            control: TargetControl::new(options.seed, gate),
            gaps: RandomSource::new(options.seed),
            batch: Arc::new(Semaphore::new(options.batch_max)),
            state: Mutex::new(parts),
            options,
        }
    }

    /// Whether the engine serves a model now.
    pub(super) fn has_model(&self, model: &str) -> bool {
        self.lock().orders.state().model.as_str() == model
    }

    pub(super) fn orders(&self) -> Vec<EngineOrder> {
        self.lock().orders.accepted().to_vec()
    }

    /// Returns the time between two tokens at the current batch size.
    pub(super) fn token_time(&self) -> Duration {
        let others = u64::from(self.lock().running.saturating_sub(1));
        let permille = 1000 + self.options.slowdown_permille * others;
        Duration::from_micros(self.options.between_tokens_ms * permille)
    }

    fn lock(&self) -> MutexGuard<'_, EngineParts> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn answer_order(&self, body: &[u8]) -> StandInResponse {
        let order: EngineOrder = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return responses::bytes(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let fault = self.control.faults.pick(TargetScope::Orders);
        let outcome = self.lock().orders.apply(order);
        if fault.is_some() {
            return StandInResponse::Close;
        }
        match outcome {
            OrderOutcome::Accepted => responses::status(StatusCode::ACCEPTED),
            OrderOutcome::Fenced => responses::status(StatusCode::CONFLICT),
            OrderOutcome::Throttled { retry_after_ms } => {
                responses::retry_after(StatusCode::TOO_MANY_REQUESTS, retry_after_ms)
            }
        }
    }

    pub(super) fn answer_cache_events(&self, query: &str) -> StandInResponse {
        if self.control.faults.pick(TargetScope::CacheEvents).is_some() {
            return StandInResponse::Close;
        }
        let after = query.strip_prefix("after=").unwrap_or("0");
        let Ok(after) = after.parse() else {
            return responses::status(StatusCode::BAD_REQUEST);
        };
        let gap = self.gaps.draw(self.options.event_gap_permille);
        let update = self.lock().cache.update_after(after, gap);
        responses::json(StatusCode::OK, &update)
    }

    pub(super) async fn answer_health(&self) -> StandInResponse {
        match self.control.faults.pick(TargetScope::Health) {
            Some(TargetFault::Hang) => std::future::pending().await,
            Some(TargetFault::Late { ms }) => tokio::time::sleep(Duration::from_millis(ms)).await,
            Some(_) => return StandInResponse::Close,
            None => {}
        }
        let state = self.control.state();
        let mut parts = self.lock();
        let load = parts.loads.report();
        let engine = parts.orders.state();
        let health = json!({"state": state, "load": load, "engine": engine});
        responses::json(StatusCode::OK, &health)
    }

    pub(super) fn plan(
        &self,
        request: &ChatRequest,
        attempt: String,
    ) -> (ChatCompletion, Duration) {
        let prompt = request.prompt();
        let chain = prefix_chain(&prompt);
        let cached = self.lock().cache.use_blocks(&chain);
        let unlimited = request.unlimited_tokens(self.options.seed, self.options.answer_tokens);
        let tokens = unlimited.min(request.limit()).max(1);
        let new_blocks = (chain.len() - cached) as u64;
        let first_ms = self.options.first_token_ms + self.options.block_ms * new_blocks;
        let block_tokens = (beechsaddle_core::hash::PREFIX_BLOCK_BYTES / 4) as u64;
        let completion = ChatCompletion {
            proof: ChatProof {
                attempt,
                prompt: ChatProof::prompt_hash(&prompt),
                tokens,
                mark: ChatProof::mark_of(&prompt),
            },
            model: request.model.clone(),
            input_tokens: request.input_tokens(),
            cached_tokens: cached as u64 * block_tokens,
            limited: tokens < unlimited,
            wants_usage: request.wants_usage(),
        };
        (completion, Duration::from_millis(first_ms))
    }
}

impl fmt::Debug for EngineService {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("EngineService")
    }
}

impl BatchSlot {
    pub(super) async fn enter(service: Arc<EngineService>) -> Self {
        let batch = Arc::clone(&service.batch);
        service.lock().change_load(0, 1);
        let mut slot = BatchSlot {
            service,
            permit: None,
        };
        // Acquiring cannot fail, as the semaphore is never closed.
        slot.permit = batch.acquire_owned().await.ok();
        slot.service.lock().change_load(1, -1);
        slot
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        let mut parts = self.service.lock();
        if self.permit.is_some() {
            parts.change_load(-1, 0);
        } else {
            parts.change_load(0, -1);
        }
    }
}

impl EngineParts {
    fn change_load(&mut self, running: i32, waiting: i32) {
        self.running = self.running.saturating_add_signed(running);
        self.waiting = self.waiting.saturating_add_signed(waiting);
        let load = LoadReport {
            running: self.running,
            waiting: self.waiting,
            cache_permille: self.cache.permille(),
        };
        self.loads.record(load);
    }
}
