//! The `refusal_cause` module provides what was known when a call was refused for want of tokens.

use super::{LogEntry, LogIndex};

/// Returns why a call got no tokens, in a few lines: what decided it, what its router held, and what a
/// lender last answered it. Empty if the call was not refused for tokens.
pub(super) fn explain_refusal(index: &LogIndex, id: &str) -> Vec<String> {
    let own = |event: &str| {
        let mut entries = index.entries().iter().rev();
        entries.find(|entry| entry.event == event && entry.field("id") == Some(id))
    };
    let Some(call) = own("call").filter(|call| call.field("shortage").is_some()) else {
        return Vec::new();
    };
    let mut lines = vec![describe_refusal(call)];
    lines.extend(own("tokens_reserved").map(describe_holdings));
    let lender = last_loan(index, call);
    lines.extend(lender.map(|loan| describe_loan(loan, call)));
    lines
}

fn describe_refusal(call: &LogEntry) -> String {
    let text = |key| call.field(key).unwrap_or("unknown");
    let way = match call.field("known") {
        Some("true") => "known when it came",
        _ => "after a search for tokens",
    };
    let mut line = format!(
        "refused: {} for {}, {way}, in {} ms",
        text("outcome"),
        text("shortage"),
        text("reserve_ms")
    );
    if let Some(retry_ms) = call.field("retry_ms") {
        line.push_str(&format!("; to return in {retry_ms} ms"));
    }
    line
}

fn describe_holdings(reserved: &LogEntry) -> String {
    let text = |key| reserved.field(key).unwrap_or("unknown");
    format!(
        "tokens: needs {}, {} free here as {}, {} left in a ledger of {} ms ago",
        text("tokens"),
        text("free"),
        text("role"),
        text("left"),
        text("ledger_age_ms")
    )
}

/// Returns the last answer of a lender to the call's router, for its workspace.
fn last_loan<'a>(index: &'a LogIndex, call: &LogEntry) -> Option<&'a LogEntry> {
    let mut entries = index.entries().iter().rev();
    entries.find(|entry| {
        entry.event == "tokens_borrowed"
            && entry.router == call.router
            && entry.at_ms <= call.at_ms
            && entry.field("workspace") == call.field("workspace")
    })
}

fn describe_loan(loan: &LogEntry, call: &LogEntry) -> String {
    let text = |key| loan.field(key).unwrap_or("unknown");
    format!(
        "lender: {} answered {} to a request for {} or more, {} ms before",
        text("peer"),
        text("outcome"),
        text("least"),
        call.at_ms - loan.at_ms
    )
}
