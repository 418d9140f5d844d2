//! The `call_sender` module provides a caller that sends one planned call until its end.

use std::sync::Arc;
use std::time::Instant;

use http::StatusCode;
use tokio::time::{sleep, timeout};

use super::{
    AnswerReader, CallKind, CallOutcome, CallResult, CallerPatience, CallerSettings, HttpClient,
    PlannedCall, build_request,
};

/// Sends calls to the routers of a fleet.
#[derive(Clone, Debug)]
pub struct CallSender {
    settings: Arc<CallerSettings>,
    client: Arc<HttpClient>,
    patience: CallerPatience,
}

impl CallSender {
    /// A sender for the fleet of `settings`.
    pub fn new(settings: Arc<CallerSettings>, patience: CallerPatience) -> Self {
        CallSender {
            settings,
            client: Arc::new(HttpClient::new()),
            patience,
        }
    }

    /// Sends a call, and again while the caller has patience, each time through another router.
    pub async fn send(&self, call: PlannedCall, start: Instant) -> CallResult {
        let repeatable = self.settings.may_repeat(call.kind);
        let mut result = CallResult::new(call, start, repeatable);
        loop {
            let (outcome, event) = self.try_once(&result).await;
            result.note(outcome, event);
            match self.patience.wait_after(&result.outcome, result.tries) {
                Some(wait) => sleep(wait).await,
                None => return result,
            }
        }
    }

    async fn try_once(&self, result: &CallResult) -> (CallOutcome, String) {
        let address = self.router_for(result);
        let attempt = self.exchange(result, address);
        match timeout(self.patience.try_timeout, attempt).await {
            Ok(Ok((outcome, status))) => (outcome, format!("{address} answered {status}")),
            Ok(Err(error)) => (CallOutcome::Broken, format!("{address} {error:#}")),
            Err(_) => (CallOutcome::Broken, format!("{address} took too long")),
        }
    }

    fn router_for(&self, result: &CallResult) -> &str {
        let routers = &self.settings.routers;
        let turn = result.call.number.wrapping_add(u64::from(result.tries));
        &routers[(turn % routers.len() as u64) as usize]
    }

    async fn exchange(
        &self,
        result: &CallResult,
        address: &str,
    ) -> eyre::Result<(CallOutcome, StatusCode)> {
        let call = &result.call;
        let request = build_request(&self.settings, call, self.patience.retries > 0)?;
        let (response, connection) = self.client.send(address, request).await?;
        let reader = AnswerReader {
            mark: call.key.clone(),
            intended: result.intended,
        };
        let status = response.status();
        let body = response.into_body();
        let outcome = match (status.is_success(), call.kind) {
            (false, _) => reader.read_refusal(body).await,
            (true, CallKind::StreamedChat) => reader.read_stream(body).await,
            (true, CallKind::WholeChat) => reader.read_chat(body).await,
            (true, CallKind::Plain | CallKind::NotRepeatable) => {
                reader.read_plain(body, self.settings.call_cost).await
            }
        };
        self.client.give_back(address, connection);
        Ok((outcome, status))
    }
}
