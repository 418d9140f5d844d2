//! The `call_story` module provides what the logs tell of one call, and of what decided over it.

use std::collections::BTreeSet;

use super::{LogBook, LogEntry};

/// How long before a call's first line other lines may have decided over it, in milliseconds: as long as
/// a target stays ejected for a first failure, and a lost store counts.
const BEFORE_MS: u64 = 2_000;

/// The words by which an event tells of a router's store, peers, link or end, which decide over any call.
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

/// What a call touched.
struct CallTraces<'a> {
    id: &'a str,
    routers: BTreeSet<&'a str>,
    targets: BTreeSet<&'a str>,
    workspaces: BTreeSet<&'a str>,
    fingerprints: BTreeSet<&'a str>,
    first_ms: u64,
    last_ms: u64,
}

/// A call's lines, and between them those of its routers that tell of its targets, its workspace or the
/// routers themselves, each with the time since the call's first line; `None` where no line has the id.
///
/// All clocks are the routers' own: lines of different routers are as far apart as their clocks.
pub fn tell_call(book: &LogBook, id: &str) -> Option<Vec<String>> {
    let traces = CallTraces::find(book, id)?;
    let entries = book.entries().iter();
    let told = entries.filter(|entry| traces.concerns(entry));
    Some(told.map(|entry| traces.line(entry)).collect())
}

impl<'a> CallTraces<'a> {
    fn find(book: &'a LogBook, id: &'a str) -> Option<Self> {
        let own: Vec<_> = own_entries(book, id).collect();
        let values = |key| own.iter().filter_map(move |entry| entry.field(key));
        Some(CallTraces {
            id,
            routers: own.iter().map(|entry| entry.router.as_str()).collect(),
            targets: values("target").collect(),
            workspaces: values("workspace").collect(),
            fingerprints: values("fingerprint").collect(),
            first_ms: own.first()?.at_ms,
            last_ms: own.last()?.at_ms,
        })
    }

    fn concerns(&self, entry: &LogEntry) -> bool {
        if entry.field("id").is_some() {
            return entry.field("id") == Some(self.id);
        }
        // Crashes under a request decide over its later attempts, whoever saw them and however long ago.
        if let Some(fingerprint) = entry.field("fingerprint") {
            return entry.at_ms <= self.last_ms && self.fingerprints.contains(fingerprint);
        }
        let is_near = entry.at_ms + BEFORE_MS >= self.first_ms && entry.at_ms <= self.last_ms;
        let names = |key, known: &BTreeSet<&str>| {
            entry.field(key).is_some_and(|value| known.contains(value))
        };
        let is_about = names("target", &self.targets)
            || names("workspace", &self.workspaces)
            || ROUTER_EVENTS.contains(&entry.event.as_str());
        is_near && is_about && self.routers.contains(entry.router.as_str())
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

fn own_entries<'a>(book: &'a LogBook, id: &'a str) -> impl Iterator<Item = &'a LogEntry> {
    let entries = book.entries().iter();
    entries.filter(move |entry| entry.field("id") == Some(id))
}
