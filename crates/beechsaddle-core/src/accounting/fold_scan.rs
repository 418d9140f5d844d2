//! The `fold_scan` module provides the search for the journals of a router that is gone.

use std::collections::BTreeSet;

use super::journal_name::{host_prefix, read_segment_key, router_prefix};
use super::journal_writer::RETRY_MS;
use crate::clock::ClockTime;
use crate::names::{HostName, KeyText, ObjectKey, RouterIncarnation};
use crate::platform::{PlatformCall, PlatformReply};

/// Time between two searches for the journals of one router, in milliseconds.
const RESCAN_MS: u64 = 30_000;

/// Time for which the search is left to the router picked for it, in milliseconds; longer than that
/// router needs to learn of the death.
const DELEGATION_TIMEOUT_MS: u64 = 20_000;

/// Number of searches for the journals of one router.
///
/// A router that was taken for gone while it ran finds its journal closed and starts another one.
/// If it dies before any message from it arrives, its death is not announced again; after a single
/// search its last grant would stay open and its last bills out of the ledger. Twenty searches
/// cover ten minutes, longer than a host that the platform has given up runs on; at 1,500 restarts
/// a day a fleet makes one call every three seconds for this.
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
    /// Number of completed searches.
    rounds: u32,
    /// When the search was first left to another router.
    delegated_since: Option<ClockTime>,
}

impl FoldScan {
    pub(super) fn new(router: &RouterIncarnation) -> Self {
        FoldScan::of_prefix(router_prefix(router))
    }

    /// Returns a single search for the journals of all routers that ever ran on a host.
    pub(super) fn of_host(host: &HostName) -> Self {
        // The router that searches its own host runs there, so earlier routers of the host have
        // ended for good and one search is enough.
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
            delegated_since: None,
        }
    }

    /// Whether the search was left to another router for long enough.
    ///
    /// The router picked may never have known the dead one: it started later, or belongs to another
    /// domain, of which only the bridges knew the dead router. The journals would then stay open
    /// for ever and their bills unfolded, so every router that knows of the death searches once
    /// itself; folding twice changes nothing.
    pub(super) fn is_delegation_overdue(&mut self, now: ClockTime) -> bool {
        let since = *self.delegated_since.get_or_insert(now);
        self.rounds == 0 && now.since(since) >= DELEGATION_TIMEOUT_MS
    }

    /// Returns the platform call that is due, if any.
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

    /// Handles the reply to the call that was sent; returns the journals once all are known.
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
        // Further pages may follow a short one; only an empty page is the end.
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
