//! The `host_watch` module provides the reads and watches of the host lists.

use super::HostList;
use crate::action::CoreAction;
use crate::backoff::RetryBackoff;
use crate::clock::ClockTime;
use crate::names::{DomainName, ObjectKey, RouterIncarnation};
use crate::objects::PlatformObject;
use crate::outbox::CoreOutbox;
use crate::platform::{PlatformCall, PlatformDuty, PlatformReply, PlatformTicket, StoredObject};

/// The key prefix of the host lists.
const HOSTS_PREFIX: &str = "hosts/";

/// The time after which an unanswered watch counts as lost, in milliseconds; the platform answers
/// within about 30 s.
const WATCH_LOST_MS: u64 = 60_000;

/// Reads the own domain's list, then watches the lists of all domains, with one call in flight.
#[derive(Debug)]
pub(super) struct HostWatch {
    domain: DomainName,
    next_number: u64,
    pending: Option<PendingCall>,
    retry_at: Option<ClockTime>,
    /// The platform revision up to which all lists are known; zero requests all lists again.
    watched_revision: u64,
    backoff: RetryBackoff,
}

#[derive(Debug)]
struct PendingCall {
    number: u64,
    since: ClockTime,
}

/// A host list received from the platform or a peer.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct HostUpdate {
    pub domain: DomainName,
    pub version: u64,
    pub list: HostList,
}

impl HostWatch {
    pub fn new(me: &RouterIncarnation, domain: DomainName) -> Self {
        HostWatch {
            domain,
            next_number: 0,
            pending: None,
            retry_at: None,
            watched_revision: 0,
            backoff: RetryBackoff::new(me, HOSTS_PREFIX),
        }
    }

    pub fn start(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        let key = ObjectKey::new(format!("{HOSTS_PREFIX}{}", self.domain));
        self.call(now, PlatformCall::Read { key }, outbox);
    }

    /// Restarts a lost call or retries when due.
    pub fn tick(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        let lost = self
            .pending
            .as_ref()
            .is_some_and(|pending| now.since(pending.since) >= WATCH_LOST_MS);
        let due = self.retry_at.is_some_and(|time| time <= now);
        if lost || due {
            self.start(now, outbox);
        }
    }

    /// Handles the outcome of a call and returns the lists that it contains.
    pub fn on_platform(
        &mut self,
        now: ClockTime,
        ticket: PlatformTicket,
        reply: PlatformReply,
        outbox: &mut CoreOutbox,
    ) -> Vec<HostUpdate> {
        // The reply to an abandoned call must not start a second chain of calls.
        let awaited = self.pending.as_ref().map(|pending| pending.number);
        if awaited != Some(ticket.number) {
            return Vec::new();
        }
        self.pending = None;
        match reply {
            PlatformReply::Found(stored) => {
                self.watch(now, outbox);
                read_update(stored).into_iter().collect()
            }
            PlatformReply::Absent => {
                self.watch(now, outbox);
                Vec::new()
            }
            PlatformReply::Changed { objects, revision } => {
                self.watched_revision = self.watched_revision.max(revision);
                self.watch(now, outbox);
                objects.into_iter().filter_map(read_update).collect()
            }
            PlatformReply::Throttled { retry_after_ms } => {
                self.retry(now, retry_after_ms);
                Vec::new()
            }
            PlatformReply::Unreachable
            | PlatformReply::Unknown
            | PlatformReply::Invalid
            | PlatformReply::Conflict
            | PlatformReply::Written { .. }
            | PlatformReply::Deleted
            | PlatformReply::Listed { .. } => {
                self.retry(now, 0);
                Vec::new()
            }
        }
    }

    /// Whether the lists of all domains have been read.
    pub fn has_all(&self) -> bool {
        self.watched_revision > 0
    }

    fn watch(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        self.backoff.reset();
        let call = PlatformCall::Watch {
            prefix: ObjectKey::new(HOSTS_PREFIX),
            after: self.watched_revision,
        };
        self.call(now, call, outbox);
    }

    fn retry(&mut self, now: ClockTime, least_ms: u64) {
        let waiting_ms = self.backoff.next_ms(least_ms);
        self.retry_at = Some(now.plus_ms(waiting_ms));
    }

    fn call(&mut self, now: ClockTime, call: PlatformCall, outbox: &mut CoreOutbox) {
        let number = self.next_number;
        self.next_number += 1;
        self.retry_at = None;
        self.pending = Some(PendingCall { number, since: now });
        outbox.act(CoreAction::Platform {
            ticket: PlatformTicket {
                duty: PlatformDuty::Members,
                number,
            },
            call,
        });
    }
}

fn read_update(stored: StoredObject) -> Option<HostUpdate> {
    let domain = stored.key.as_str().strip_prefix(HOSTS_PREFIX)?;
    // A deleted list says nothing about the hosts; the last known list stays in use.
    match *stored.object? {
        PlatformObject::Hosts(list) => Some(HostUpdate {
            domain: DomainName::new(domain),
            version: stored.version,
            list,
        }),
        PlatformObject::Ledger(_)
        | PlatformObject::Segment(_)
        | PlatformObject::Dedup(_)
        | PlatformObject::Change(_)
        | PlatformObject::Base(_)
        | PlatformObject::Head(_)
        | PlatformObject::Fence(_)
        | PlatformObject::Layout(_) => None,
    }
}
