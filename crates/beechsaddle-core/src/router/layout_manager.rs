//! The `layout_manager` module provides the fleet's shard counts.

use crate::objects::{FleetLayout, PlatformObject};
use crate::platform::{PlatformCall, PlatformDuty, PlatformReply, PlatformTicket, WriteGuard};
use crate::prelude::*;

/// The key of the layout object.
const LAYOUT_KEY: &str = "fleet/layout";

/// The delay between two platform calls, in milliseconds.
const RETRY_MS: u64 = 500;

/// Reads the fleet's layout from the platform or receives it from peers, or creates it for a new
/// fleet.
///
/// If a router assigned budgets to shards by its own settings while others use other counts, it
/// would find its budgets in other ledgers, each with the full top-ups, and spend them twice.
/// Nothing is assigned before the stored layout is known. The layout is created once and never
/// changed, so that one read is enough.
#[derive(Debug)]
pub(super) struct LayoutManager {
    proposed: FleetLayout,
    known: Option<FleetLayout>,
    in_flight: bool,
    absent: bool,
    next: ClockTime,
    tickets: u64,
}

impl LayoutManager {
    /// Creates a manager that proposes `proposed` when the fleet is new.
    pub fn new(proposed: FleetLayout) -> Self {
        LayoutManager {
            proposed,
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

    /// Takes the layout from a peer that has it from the platform.
    pub fn set_known(&mut self, layout: FleetLayout) {
        self.known = Some(layout);
    }

    /// Reads or creates the layout when a call is due.
    pub fn tick(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        if self.known.is_some() || self.in_flight || now < self.next {
            return;
        }
        let key = ObjectKey::new(LAYOUT_KEY);
        let call = match self.absent {
            true => PlatformCall::Write {
                key,
                object: Box::new(PlatformObject::Layout(self.proposed)),
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

    /// Handles the platform's reply. Only a read supplies the layout: whatever happened to a write,
    /// the object found afterwards is the one that all routers find.
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
