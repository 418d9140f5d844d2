//! The `demo_calls` module provides the calls of the demonstration.

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};

use super::demo_fleet::{CALL_COST, KEY, MODEL, PLAIN_SERVICE};
use crate::fleet::{CallerResponse, FleetCaller, LabFleet, chat_body};
use crate::stand_in::{ChatProof, PlainEcho};

/// Idempotency key of the call that must not be repeated.
pub const CLAIM_KEY: &str = "claim-crate-17";

/// Sends the calls of the demonstration and checks their responses.
#[derive(Debug)]
pub struct DemoCalls<'a> {
    fleet: &'a LabFleet,
    caller: FleetCaller,
    answers: SentCalls,
}

/// The outcome of the calls.
#[derive(Debug, Default)]
pub struct SentCalls {
    /// Number of calls with a complete response of their own.
    pub answered: u64,
    /// Number of refused calls.
    pub refused: u64,
    /// Number of keys that must be billed.
    pub bills: u64,
    /// Number of tokens that must be billed.
    pub tokens: u64,
    /// Failed checks.
    pub findings: Vec<String>,
}

impl<'a> DemoCalls<'a> {
    /// Creates the calls to a fleet.
    pub fn new(fleet: &'a LabFleet) -> Self {
        DemoCalls {
            fleet,
            caller: FleetCaller::new(),
            answers: SentCalls::default(),
        }
    }

    /// Sends all calls one after the other and prints their responses.
    pub async fn send_all(mut self) -> eyre::Result<SentCalls> {
        self.send_chat("rijeka-1").await?;
        self.send_plain("split-1").await?;
        self.send_claim("split-1", false).await?;
        self.send_claim("split-2", true).await?;
        Ok(self.answers)
    }

    async fn send_chat(&mut self, router: &str) -> eyre::Result<()> {
        let text = "List two crates of bread that are left at closing time";
        let body = chat_body(MODEL, text, true, 64);
        let request = post("/v1/chat/completions", &body, &[])?;
        let answer = self.send("streamed_chat", router, request).await?;
        let proof = answer.chat_content().as_deref().and_then(ChatProof::read);
        let prompt = ChatProof::prompt_hash(format!("user\n{text}\n"));
        match proof {
            Some(proof) if proof.prompt == prompt => self.record_answer(usage_of(&answer)),
            Some(proof) => self.add_finding(format!("chat got another call's response: {proof}")),
            None => self.add_finding(format!("chat got no complete response: {}", answer.status)),
        }
        Ok(())
    }

    async fn send_plain(&mut self, router: &str) -> eyre::Result<()> {
        let path = format!("/svc/{PLAIN_SERVICE}/pickups?day=friday");
        let body = json!({"crates": 2});
        let answer = self
            .send("plain_call", router, post(&path, &body, &[])?)
            .await?;
        let sent = body.to_string();
        match serde_json::from_str::<PlainEcho>(&answer.body) {
            Ok(echo) if echo.path == "/pickups" && echo.body == sent => {
                self.record_answer(CALL_COST);
            }
            Ok(echo) => self.add_finding(format!(
                "plain call got the response of another call: {echo:?}"
            )),
            Err(_) => self.add_finding(format!("plain call got no response: {}", answer.status)),
        }
        Ok(())
    }

    async fn send_claim(&mut self, router: &str, again: bool) -> eyre::Result<()> {
        let path = format!("/svc/{PLAIN_SERVICE}/claims");
        let headers = [
            ("beechsaddle-repeatable", "no"),
            ("idempotency-key", CLAIM_KEY),
        ];
        let name = if again {
            "claim_again"
        } else {
            "not_repeatable_claim"
        };
        let request = post(&path, &json!({"crate": 17}), &headers)?;
        let answer = self.send(name, router, request).await?;
        let echo = serde_json::from_str::<PlainEcho>(&answer.body).ok();
        let runs = echo.map(|echo| echo.runs);
        match (again, runs, answer.refusal().as_deref()) {
            (false, Some(1), _) => self.record_answer(CALL_COST),
            // The recorded outcome of the single run may be returned again; it is not billed again.
            (true, Some(1), _) => self.answers.answered += 1,
            (true, None, Some("already_answered" | "already_dispatched")) => {
                self.answers.refused += 1;
            }
            (_, _, _) => self.add_finding(format!("{name} got {}: {}", answer.status, answer.body)),
        }
        Ok(())
    }

    async fn send(
        &self,
        name: &str,
        router: &str,
        request: Request<Full<Bytes>>,
    ) -> eyre::Result<CallerResponse> {
        let address = self.fleet.call_address(router)?;
        let answer = self.caller.send(&address, request).await?;
        let call = answer.headers.get("beechsaddle-call");
        let call = call.and_then(|value| value.to_str().ok()).unwrap_or("none");
        let text = match (answer.status, answer.chat_content()) {
            (StatusCode::OK, Some(content)) => content,
            (_, _) => answer.body.clone(),
        };
        println!(
            "sent={name} router={router} status={} call={call} answer={text:?}",
            answer.status.as_u16()
        );
        Ok(answer)
    }

    fn record_answer(&mut self, tokens: u64) {
        self.answers.answered += 1;
        self.answers.bills += 1;
        self.answers.tokens += tokens;
    }

    fn add_finding(&mut self, finding: String) {
        self.answers.findings.push(finding);
    }
}

fn post(path: &str, body: &Value, headers: &[(&str, &str)]) -> eyre::Result<Request<Full<Bytes>>> {
    let mut request = Request::post(path)
        .header("host", "beechsaddle")
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    Ok(request.body(Full::new(Bytes::from(body.to_string())))?)
}

/// Returns the token usage of a chat from its last event that reports usage.
fn usage_of(answer: &CallerResponse) -> u64 {
    let events = answer
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    events
        .filter_map(|event| serde_json::from_str::<Value>(event).ok())
        .filter_map(|event| event["usage"]["total_tokens"].as_u64())
        .next_back()
        .unwrap_or(0)
}
