//! The `call_head` module provides the headers of a call, parsed and validated.

use std::fmt::Display;
use std::str::FromStr;

use beechsaddle_core::call::KeyDigest;
use beechsaddle_core::prelude::*;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderName};
use sha2::{Digest, Sha256};

use super::call_fault::CallFault;
use super::header_filter::{BUDGET_HEADER, IDEMPOTENCY_HEADER, REPEATABLE_HEADER, TIMEOUT_HEADER};
use crate::findings::{NAME_FORM, is_name};

/// Maximum length of an `Idempotency-Key` in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Maximum timeout that a caller may set, in milliseconds: one day.
const MAX_TIMEOUT_MS: u64 = 86_400_000;

/// Headers that may occur only once, since two values would be ambiguous.
const SINGLE_HEADERS: [HeaderName; 5] = [
    AUTHORIZATION,
    IDEMPOTENCY_HEADER,
    BUDGET_HEADER,
    REPEATABLE_HEADER,
    TIMEOUT_HEADER,
];

/// Parsed headers of a call.
#[derive(Clone, Debug)]
pub(crate) struct CallHead {
    /// Digest of the workspace key.
    pub(crate) key_digest: KeyDigest,
    /// The budget that the call draws on.
    pub(crate) budget: Option<BudgetName>,
    pub(crate) idempotency: Option<KeyText>,
    /// Whether the caller allows the call to be repeated.
    pub(crate) repeatable: Option<bool>,
    /// The caller's deadline.
    pub(crate) deadline: Option<ClockTime>,
}

impl CallHead {
    /// Parses the headers of a call that arrived at `now`, and reports all errors together.
    ///
    /// # Errors
    ///
    /// `bad_request` for duplicate headers and invalid values, `unknown_key` if there is no key.
    pub(crate) fn try_read(headers: &HeaderMap, now: ClockTime) -> Result<Self, CallFault> {
        let mut findings = read_duplicates(headers);
        let budget = collect_finding(read_budget(headers), &mut findings);
        let idempotency = collect_finding(read_idempotency(headers), &mut findings);
        let repeatable = collect_finding(read_repeatable(headers), &mut findings);
        let timeout_ms = collect_finding(read_timeout(headers), &mut findings);
        if repeatable == Some(false) && idempotency.is_none() {
            findings.push("a call that may not be repeated needs an Idempotency-Key".to_owned());
        }
        if !findings.is_empty() {
            return Err(CallFault::bad_request(findings.join("; ")));
        }
        Ok(CallHead {
            key_digest: read_key(headers)?,
            budget: budget.map(BudgetName::new),
            idempotency: idempotency.map(KeyText::new),
            repeatable,
            deadline: timeout_ms.map(|timeout_ms| now.plus_ms(timeout_ms)),
        })
    }
}

/// Reads only the digest of the workspace key.
pub(crate) fn read_key(headers: &HeaderMap) -> Result<KeyDigest, CallFault> {
    const MISSING: &str = "an Authorization header with a bearer key is needed";
    let missing = || CallFault::new(RefusalReason::UnknownKey, MISSING);
    if headers.get_all(AUTHORIZATION).iter().count() > 1 {
        return Err(CallFault::bad_request(
            "the header authorization comes twice",
        ));
    }
    let value = headers.get(AUTHORIZATION).ok_or_else(missing)?;
    let text = value.to_str().map_err(|_| missing())?;
    let (scheme, key) = text.split_once(' ').ok_or_else(missing)?;
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
        return Err(missing());
    }
    Ok(KeyDigest(Sha256::digest(key.as_bytes()).into()))
}

fn collect_finding<T>(read: Result<Option<T>, String>, findings: &mut Vec<String>) -> Option<T> {
    match read {
        Ok(value) => value,
        Err(finding) => {
            findings.push(finding);
            None
        }
    }
}

fn read_duplicates(headers: &HeaderMap) -> Vec<String> {
    SINGLE_HEADERS
        .iter()
        .filter(|name| headers.get_all(*name).iter().count() > 1)
        .map(|name| format!("the header {name} comes twice"))
        .collect()
}

fn read_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, String> {
    match headers.get(name) {
        None => Ok(None),
        Some(value) => value
            .to_str()
            .map(|text| Some(text.trim()))
            .map_err(|_| format!("{name} must be printable ASCII")),
    }
}

fn read_number<T>(text: &str, name: &HeaderName) -> Result<T, String>
where
    T: FromStr,
    T::Err: Display,
{
    text.parse()
        .map_err(|error| format!("{name} must be a whole number: {error}"))
}

fn read_budget(headers: &HeaderMap) -> Result<Option<&str>, String> {
    let text = read_text(headers, &BUDGET_HEADER)?;
    match text {
        // Budgets with another form of name cannot be declared, so no lookup is needed.
        Some(text) if !is_name(text) => Err(format!("{BUDGET_HEADER} must have {NAME_FORM}")),
        Some(_) | None => Ok(text),
    }
}

fn read_idempotency(headers: &HeaderMap) -> Result<Option<&str>, String> {
    let text = read_text(headers, &IDEMPOTENCY_HEADER)?;
    match text {
        Some(text) if text.is_empty() || text.len() > MAX_KEY_BYTES => Err(format!(
            "{IDEMPOTENCY_HEADER} must have 1 to {MAX_KEY_BYTES} printable ASCII bytes"
        )),
        _ => Ok(text),
    }
}

fn read_repeatable(headers: &HeaderMap) -> Result<Option<bool>, String> {
    match read_text(headers, &REPEATABLE_HEADER)? {
        None => Ok(None),
        Some("yes") => Ok(Some(true)),
        Some("no") => Ok(Some(false)),
        Some(_) => Err(format!("{REPEATABLE_HEADER} must be yes or no")),
    }
}

fn read_timeout(headers: &HeaderMap) -> Result<Option<u64>, String> {
    let Some(text) = read_text(headers, &TIMEOUT_HEADER)? else {
        return Ok(None);
    };
    let timeout_ms: u64 = read_number(text, &TIMEOUT_HEADER)?;
    if timeout_ms == 0 || timeout_ms > MAX_TIMEOUT_MS {
        return Err(format!(
            "{TIMEOUT_HEADER} must be from 1 to {MAX_TIMEOUT_MS}"
        ));
    }
    Ok(Some(timeout_ms))
}
