//! The `layout_desk` module provides the fleet's shard counts.

use crate::objects::{FleetLayout, PlatformObject};
use crate::platform::{PlatformCall, PlatformDuty, PlatformReply, PlatformTicket, WriteGuard};
use crate::prelude::*;

/// Where the layout is kept.
const LAYOUT_KEY: &str = "fleet/layout";

/// How long to wait before the platform is asked again, in milliseconds.
const RETRY_MS: u64 = 500;

/// Learns the fleet's layout from the platform or from peers, or creates it for a new fleet.
///
/// A router that placed budgets by its own settings while others use other counts would find its
/// budgets in other ledgers, each with the full top-ups, and spend them twice. So nothing is placed
/// before the one layout at the platform is known; it is created once and never changed, so that
/// reading it once is enough.
#[derive(Debug)]
pub(super) struct LayoutDesk {
    wanted: FleetLayout,
    known: Option<FleetLayout>,
    in_flight: bool,
    absent: bool,
    next: ClockTime,
    tickets: u64,
}

impl LayoutDesk {
    /// A desk that proposes `wanted` when the fleet is new.
    pub fn new(wanted: FleetLayout) -> Self {
        LayoutDesk {
            wanted,
            known: None,
            in_flight: false,
            absent: false,
            next: ClockTime::ZERO,
            tickets: 0,
        }
    }

    /// The layout, once it is known.
    pub fn known(&self) -> Option<&FleetLayout> {
        self.known.as_ref()
    }

    /// Takes the layout from a peer, which has it from the platform.
    pub fn learn(&mut self, layout: FleetLayout) {
        self.known = Some(layout);
    }

    /// Asks the platform when it is time to.
    pub fn tick(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        if self.known.is_some() || self.in_flight || now < self.next {
            return;
        }
        let key = ObjectKey::new(LAYOUT_KEY);
        let call = match self.absent {
            true => PlatformCall::Write {
                key,
                object: Box::new(PlatformObject::Layout(self.wanted)),
                guard: WriteGuard::Absent,
            },
            false => PlatformCall::Read { key },
        };
        self.tickets += 1;
        self.in_flight = true;
        let ticket = PlatformTicket {
            duty: PlatformDuty::Layout,
            number: self.tickets,
        };
        outbox.act(CoreAction::Platform { ticket, call });
    }

    /// Takes the platform's answer. Only a read tells the layout: whatever became of a write, the
    /// object that is found afterwards is the one that all others find.
    pub fn on_platform(&mut self, now: ClockTime, reply: &PlatformReply) {
        self.in_flight = false;
        self.next = now;
        match reply {
            PlatformReply::Found(stored) => match stored.object.as_deref() {
                Some(PlatformObject::Layout(layout)) => self.known = Some(*layout),
                Some(_) | None => self.next = now.plus_ms(RETRY_MS),
            },
            PlatformReply::Absent => self.absent = true,
            PlatformReply::Written { .. } | PlatformReply::Conflict => self.absent = false,
            PlatformReply::Throttled { retry_after_ms } => {
                self.next = now.plus_ms((*retry_after_ms).max(RETRY_MS));
            }
            PlatformReply::Deleted
            | PlatformReply::Listed { .. }
            | PlatformReply::Changed { .. }
            | PlatformReply::Unreachable
            | PlatformReply::Unknown
            | PlatformReply::Invalid => {
                self.absent = false;
                self.next = now.plus_ms(RETRY_MS);
            }
        }
    }
}
