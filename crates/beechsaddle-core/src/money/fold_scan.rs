//! The `fold_scan` module provides the search for the journals of a router that is gone.

use std::collections::BTreeSet;

use super::journal_name::{host_prefix, read_segment_key, router_prefix};
use super::journal_writer::RETRY_MS;
use crate::clock::ClockTime;
use crate::names::{HostName, KeyText, ObjectKey, RouterIncarnation};
use crate::platform::{PlatformCall, PlatformReply};

/// The time between two searches for the journals of one router, in milliseconds.
const RESCAN_MS: u64 = 30_000;

/// How long the search is left to the router that is picked for it, in milliseconds: longer than it
/// takes that one to hear of the death.
const OVERLOOKED_MS: u64 = 20_000;

/// How often they are searched for.
///
/// A router that was taken for gone while it ran finds its journal closed and goes on with another
/// one. When it dies without having been heard again, nobody tells of its death a second time, and
/// after one search only its last grant would stay open and its last bills out of the ledger.
/// Twenty searches cover ten minutes, longer than a host runs on that the platform has given up; at
/// 1,500 restarts a day a fleet makes one call in three seconds for it.
const SCAN_ROUNDS: u32 = 20;

/// Lists the segments of all journals of one router process, or of all processes of one host.
#[derive(Debug)]
pub(super) struct FoldScan {
    prefix: ObjectKey,
    after: Option<ObjectKey>,
    found: BTreeSet<KeyText>,
    is_sent: bool,
    is_done: bool,
    retry_at: ClockTime,
    /// How often the search was done.
    rounds: u32,
    /// Since when another router is relied on for it.
    left_since: Option<ClockTime>,
}

impl FoldScan {
    pub(super) fn new(router: &RouterIncarnation) -> Self {
        FoldScan::of_prefix(router_prefix(router))
    }

    /// A search for the journals of every router that ever ran on a host.
    pub(super) fn of_host(host: &HostName) -> Self {
        // The router that searches its own host runs there: the earlier ones have ended for good.
        let mut scan = FoldScan::of_prefix(host_prefix(host));
        scan.rounds = SCAN_ROUNDS - 1;
        scan
    }

    fn of_prefix(prefix: ObjectKey) -> Self {
        FoldScan {
            prefix,
            after: None,
            found: BTreeSet::new(),
            is_sent: false,
            is_done: false,
            retry_at: ClockTime::ZERO,
            rounds: 0,
            left_since: None,
        }
    }

    /// Whether it was left to another router for long enough.
    ///
    /// The router that is picked may never have heard of the dead one: it started later, or belongs
    /// to another domain whose bridges alone knew it. The journals would then stay open for ever, and
    /// their bills unfolded. Those who know of the death search once themselves; folding twice
    /// changes nothing.
    pub(super) fn is_overlooked(&mut self, now: ClockTime) -> bool {
        let since = *self.left_since.get_or_insert(now);
        self.rounds == 0 && now.since(since) >= OVERLOOKED_MS
    }

    /// The platform call that is due, if any.
    pub(super) fn next_call(&mut self, now: ClockTime) -> Option<PlatformCall> {
        let is_over = self.is_done && self.rounds >= SCAN_ROUNDS;
        if self.is_sent || is_over || now < self.retry_at {
            return None;
        }
        if self.is_done {
            self.is_done = false;
            self.after = None;
        }
        self.is_sent = true;
        Some(PlatformCall::List {
            prefix: self.prefix.clone(),
            after: self.after.clone(),
        })
    }

    /// Takes the outcome of the call that was sent; returns the journals when all are known.
    pub(super) fn on_reply(
        &mut self,
        now: ClockTime,
        reply: PlatformReply,
    ) -> Option<BTreeSet<KeyText>> {
        self.is_sent = false;
        let PlatformReply::Listed { objects, .. } = reply else {
            self.retry_at = now.plus_ms(RETRY_MS);
            return None;
        };
        for object in &objects {
            let name = read_segment_key(&object.key).map(|(journal, _)| journal);
            self.found.extend(name);
        }
        // A short page may still be followed by another one; only an empty one is the end.
        match objects.last() {
            Some(object) => {
                self.after = Some(object.key.clone());
                None
            }
            None => {
                self.is_done = true;
                self.rounds += 1;
                self.retry_at = now.plus_ms(RESCAN_MS);
                Some(std::mem::take(&mut self.found))
            }
        }
    }
}
