//! The `call_trace` module provides the log lines that explain one call.

use std::collections::BTreeSet;

use super::refusal_cause::explain_refusal;
use super::{LogEntry, LogIndex};

/// How long before a call's first line other lines may have influenced it, in milliseconds: as long
/// as a target stays ejected after a first failure, or an outage of the store stays relevant.
const LEAD_MS: u64 = 2_000;

/// The events about a router's store, peers, link or shutdown, which may influence any of its
/// calls.
const ROUTER_EVENTS: [&str; 10] = [
    "store_lost",
    "store_regained",
    "peer_lost",
    "peer_regained",
    "link_full",
    "config_in_force",
    "leaving",
    "closing",
    "stopped",
    "started",
];

/// The routers, targets and other names in the lines of a call.
struct CallTrace<'a> {
    id: &'a str,
    routers: BTreeSet<&'a str>,
    targets: BTreeSet<&'a str>,
    workspaces: BTreeSet<&'a str>,
    fingerprints: BTreeSet<&'a str>,
    first_ms: u64,
    last_ms: u64,
}

/// Returns the lines of a call, together with those of its routers about its targets, its workspace
/// or the routers themselves, each with the time since the call's first line. If the call was refused
/// for want of tokens, the cause follows. Returns `None` if no line has the id.
///
/// Times are by each router's own clock, so that lines of different routers are skewed by the
/// difference of their clocks.
pub fn explain_call(index: &LogIndex, id: &str) -> Option<Vec<String>> {
    let trace = CallTrace::find(index, id)?;
    let entries = index.entries().iter();
    let entries = entries.filter(|entry| trace.is_relevant(entry));
    let mut lines: Vec<_> = entries.map(|entry| trace.line(entry)).collect();
    lines.extend(explain_refusal(index, id));
    Some(lines)
}

impl<'a> CallTrace<'a> {
    fn find(index: &'a LogIndex, id: &'a str) -> Option<Self> {
        let own: Vec<_> = own_entries(index, id).collect();
        let values = |key| own.iter().filter_map(move |entry| entry.field(key));
        let named = values("leaving").chain(values("resting"));
        let named = named.flat_map(|names| names.split(','));
        Some(CallTrace {
            id,
            routers: own.iter().map(|entry| entry.router.as_str()).collect(),
            targets: values("target").chain(named).collect(),
            workspaces: values("workspace").collect(),
            fingerprints: values("fingerprint").collect(),
            first_ms: own.first()?.at_ms,
            last_ms: own.last()?.at_ms,
        })
    }

    fn is_relevant(&self, entry: &LogEntry) -> bool {
        if entry.field("id").is_some() {
            return entry.field("id") == Some(self.id);
        }
        // Crashes attributed to a request influence its later attempts, regardless of which router
        // reported them and when.
        if let Some(fingerprint) = entry.field("fingerprint") {
            return entry.at_ms <= self.last_ms && self.fingerprints.contains(fingerprint);
        }
        if entry.event == "target_resting" {
            return self.is_resting(entry);
        }
        // A target that has announced that it leaves stays out of use.
        let is_lasting = entry.event == "target_leaving" && entry.at_ms <= self.last_ms;
        let is_near = entry.at_ms + LEAD_MS >= self.first_ms && entry.at_ms <= self.last_ms;
        let names = |key, known: &BTreeSet<&str>| {
            entry.field(key).is_some_and(|value| known.contains(value))
        };
        let is_related = names("target", &self.targets)
            || names("workspace", &self.workspaces)
            || ROUTER_EVENTS.contains(&entry.event.as_str());
        (is_near || is_lasting) && is_related && self.routers.contains(entry.router.as_str())
    }

    /// Whether one of the call's targets rests by this entry at any time of the call.
    fn is_resting(&self, entry: &LogEntry) -> bool {
        let rest_ms = entry.field("rest_ms").and_then(|text| text.parse().ok());
        let ends_ms = entry.at_ms.saturating_add(rest_ms.unwrap_or(LEAD_MS));
        let is_known = entry
            .field("target")
            .is_some_and(|target| self.targets.contains(target));
        is_known
            && entry.at_ms <= self.last_ms
            && ends_ms >= self.first_ms
            && self.routers.contains(entry.router.as_str())
    }

    fn line(&self, entry: &LogEntry) -> String {
        let after_ms = entry.at_ms as i64 - self.first_ms as i64;
        let mark = match entry.field("id") {
            Some(_) => '*',
            None => ' ',
        };
        let fields = entry.text.split_once("event=").map_or("", |(_, rest)| rest);
        format!("{mark} {after_ms:>7} ms  {}  {fields}", entry.host())
    }
}

fn own_entries<'a>(index: &'a LogIndex, id: &'a str) -> impl Iterator<Item = &'a LogEntry> {
    let entries = index.entries().iter();
    entries.filter(move |entry| entry.field("id") == Some(id))
}
