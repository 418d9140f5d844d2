//! The `call_sender` module provides a caller that sends planned calls and retries them.

use std::sync::Arc;
use std::time::Instant;

use http::StatusCode;
use tokio::time::{sleep, timeout};

use super::{
    CallKind, CallOutcome, CallResult, CallerRetryPolicy, CallerSettings, HttpClient, PlannedCall,
    ResponseReader, build_request,
};

/// Sends calls to the routers of a fleet.
#[derive(Clone, Debug)]
pub struct CallSender {
    settings: Arc<CallerSettings>,
    client: Arc<HttpClient>,
    retry_policy: CallerRetryPolicy,
}

impl CallSender {
    /// Creates a sender for the fleet of `settings`.
    pub fn new(settings: Arc<CallerSettings>, retry_policy: CallerRetryPolicy) -> Self {
        CallSender {
            settings,
            client: Arc::new(HttpClient::new()),
            retry_policy,
        }
    }

    /// Sends a call and retries it as the policy permits, each time through the next router.
    pub async fn send(&self, call: PlannedCall, start: Instant) -> CallResult {
        let repeatable = self.settings.may_repeat(call.kind);
        let mut result = CallResult::new(call, start, repeatable);
        loop {
            let (outcome, event) = self.try_once(&result).await;
            result.record(outcome, event);
            match self.retry_policy.wait_after(&result.outcome, result.tries) {
                Some(wait) => sleep(wait).await,
                None => return result,
            }
        }
    }

    async fn try_once(&self, result: &CallResult) -> (CallOutcome, String) {
        let address = self.router_for(result);
        let attempt = self.exchange(result, address);
        match timeout(self.retry_policy.try_timeout, attempt).await {
            Ok(Ok((outcome, status))) => (outcome, format!("{address} answered {status}")),
            Ok(Err(error)) => (CallOutcome::Broken, format!("{address} {error:#}")),
            Err(_) => (CallOutcome::Broken, format!("{address} timed out")),
        }
    }

    fn router_for(&self, result: &CallResult) -> &str {
        let routers = &self.settings.routers;
        let index = result.call.number.wrapping_add(u64::from(result.tries));
        &routers[(index % routers.len() as u64) as usize]
    }

    async fn exchange(
        &self,
        result: &CallResult,
        address: &str,
    ) -> eyre::Result<(CallOutcome, StatusCode)> {
        let call = &result.call;
        let request = build_request(&self.settings, call, self.retry_policy.retries > 0)?;
        let (response, connection) = self.client.send(address, request).await?;
        let reader = ResponseReader {
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
        self.client.release_connection(address, connection);
        Ok((outcome, status))
    }
}
