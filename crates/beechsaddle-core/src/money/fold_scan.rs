//! The `fold_scan` module provides the search for the journals of a router that is gone.

use std::collections::BTreeSet;

use super::journal_name::{host_prefix, read_segment_key, router_prefix};
use super::journal_writer::RETRY_MS;
use crate::clock::ClockTime;
use crate::names::{HostName, KeyText, ObjectKey, RouterIncarnation};
use crate::platform::{PlatformCall, PlatformReply};

/// Lists the segments of all journals of one router process, or of all processes of one host.
#[derive(Debug)]
pub(super) struct FoldScan {
    prefix: ObjectKey,
    after: Option<ObjectKey>,
    found: BTreeSet<KeyText>,
    is_sent: bool,
    is_done: bool,
    retry_at: ClockTime,
}

impl FoldScan {
    pub(super) fn new(router: &RouterIncarnation) -> Self {
        FoldScan::of_prefix(router_prefix(router))
    }

    /// A search for the journals of every router that ever ran on a host.
    pub(super) fn of_host(host: &HostName) -> Self {
        FoldScan::of_prefix(host_prefix(host))
    }

    fn of_prefix(prefix: ObjectKey) -> Self {
        FoldScan {
            prefix,
            after: None,
            found: BTreeSet::new(),
            is_sent: false,
            is_done: false,
            retry_at: ClockTime::ZERO,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.is_done
    }

    /// The platform call that is due, if any.
    pub(super) fn next_call(&mut self, now: ClockTime) -> Option<PlatformCall> {
        if self.is_sent || self.is_done || now < self.retry_at {
            return None;
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
                Some(std::mem::take(&mut self.found))
            }
        }
    }
}
