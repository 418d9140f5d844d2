//! The `host_watch` module provides the reading and watching of the lists of hosts.

use super::HostList;
use crate::action::CoreAction;
use crate::backoff::RetryBackoff;
use crate::clock::ClockTime;
use crate::names::{DomainName, ObjectKey, RouterIncarnation};
use crate::objects::PlatformObject;
use crate::outbox::CoreOutbox;
use crate::platform::{PlatformCall, PlatformDuty, PlatformReply, PlatformTicket, StoredObject};

/// Where the lists of hosts are.
const HOSTS_PREFIX: &str = "hosts/";

/// A watch that was not answered for so long, in milliseconds, was lost on the way: the platform
/// answers after about 30 s at the latest.
const WATCH_LOST_MS: u64 = 60_000;

/// Reads the own domain's list, then watches the lists of all domains; one call at a time.
#[derive(Debug)]
pub(super) struct HostWatch {
    domain: DomainName,
    next_number: u64,
    pending: Option<PendingCall>,
    retry_at: Option<ClockTime>,
    /// The platform's revision up to which all lists are known; zero sends all lists again.
    watched: u64,
    backoff: RetryBackoff,
}

#[derive(Debug)]
struct PendingCall {
    number: u64,
    since: ClockTime,
}

/// A list as it came from the platform.
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
            watched: 0,
            backoff: RetryBackoff::new(me, HOSTS_PREFIX),
        }
    }

    /// Reads the own domain's list.
    pub fn start(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        let key = ObjectKey::new(format!("{HOSTS_PREFIX}{}", self.domain));
        self.call(now, PlatformCall::Read { key }, outbox);
    }

    /// Tries again when it is time.
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

    /// Takes an outcome and gives the lists that it brought.
    pub fn on_platform(
        &mut self,
        now: ClockTime,
        ticket: PlatformTicket,
        reply: PlatformReply,
        outbox: &mut CoreOutbox,
    ) -> Vec<HostUpdate> {
        // The answer to a call that was given up must not start a second chain of calls.
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
                self.watched = self.watched.max(revision);
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

    /// Whether the lists of all domains were read.
    pub fn has_all(&self) -> bool {
        self.watched > 0
    }

    fn watch(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        self.backoff.reset();
        let call = PlatformCall::Watch {
            prefix: ObjectKey::new(HOSTS_PREFIX),
            after: self.watched,
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
    // A list that was deleted tells nothing about the hosts; the last one stays in use.
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
