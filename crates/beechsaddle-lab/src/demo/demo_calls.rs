//! The `demo_calls` module provides the calls of the demonstration.

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};

use super::demo_fleet::{CALL_COST, KEY, MODEL, PLAIN_SERVICE};
use crate::fleet::{CallerAnswer, FleetCaller, LabFleet, chat_body};
use crate::stand_in::{ChatProof, PlainEcho};

/// The key of the call that may not be repeated.
pub const CLAIM_KEY: &str = "claim-crate-17";

/// Sends the calls.
#[derive(Debug)]
pub struct DemoCalls<'a> {
    fleet: &'a LabFleet,
    caller: FleetCaller,
    answers: SentCalls,
}

/// What came of the calls.
#[derive(Debug, Default)]
pub struct SentCalls {
    /// Calls that got their own whole answer.
    pub answered: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// How many keys have to be billed.
    pub bills: u64,
    /// What has to be billed, in tokens.
    pub tokens: u64,
    /// What was not as it must be.
    pub findings: Vec<String>,
}

impl<'a> DemoCalls<'a> {
    /// Prepares the calls to a fleet.
    pub fn new(fleet: &'a LabFleet) -> Self {
        DemoCalls {
            fleet,
            caller: FleetCaller::new(),
            answers: SentCalls::default(),
        }
    }

    /// Sends all calls, one after the other, and prints their answers.
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
            Some(proof) if proof.prompt == prompt => self.note_answer(usage_of(&answer)),
            Some(proof) => self.find(format!("the chat got the answer to another: {proof}")),
            None => self.find(format!("the chat got no whole answer: {}", answer.status)),
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
                self.note_answer(CALL_COST);
            }
            Ok(echo) => self.find(format!(
                "the plain call got the answer to another: {echo:?}"
            )),
            Err(_) => self.find(format!("the plain call got no answer: {}", answer.status)),
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
            (false, Some(1), _) => self.note_answer(CALL_COST),
            // The outcome of the one run may be told again; it is not billed again.
            (true, Some(1), _) => self.answers.answered += 1,
            (true, None, Some("already_answered" | "already_dispatched")) => {
                self.answers.refused += 1;
            }
            (_, _, _) => self.find(format!("{name} got {}: {}", answer.status, answer.body)),
        }
        Ok(())
    }

    async fn send(
        &self,
        name: &str,
        router: &str,
        request: Request<Full<Bytes>>,
    ) -> eyre::Result<CallerAnswer> {
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

    fn note_answer(&mut self, tokens: u64) {
        self.answers.answered += 1;
        self.answers.bills += 1;
        self.answers.tokens += tokens;
    }

    fn find(&mut self, finding: String) {
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

/// The tokens that a chat used, by its last event with a usage.
fn usage_of(answer: &CallerAnswer) -> u64 {
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
