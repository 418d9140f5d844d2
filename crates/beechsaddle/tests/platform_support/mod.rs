//! Shared helpers for the tests of the platform edge.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use beechsaddle::platform::{PlatformClient, PlatformEdge, PlatformHandle, PlatformOptions};
use beechsaddle_core::event::CoreEvent;
use beechsaddle_core::objects::{FleetLayout, PlatformObject};
use beechsaddle_core::platform::{PlatformDuty, PlatformReply, PlatformTicket};
use beechsaddle_core::prelude::*;
use beechsaddle_lab::stand_in::PlatformServer;
use beechsaddle_lab::stand_in::platform::{CallScope, FaultRule, PlatformFault, PlatformFaults};
use crossbeam_channel::{Receiver, bounded};

/// The time limit for a reply, longer than any call of these tests.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

pub fn layout(ledger_shards: u32) -> PlatformObject {
    PlatformObject::Layout(FleetLayout {
        ledger_shards,
        dedup_shards: 1,
    })
}

pub fn options(server: &PlatformServer) -> PlatformOptions {
    PlatformOptions {
        timeout_ms: 300,
        ..PlatformOptions::new(server.address())
    }
}

pub fn client(options: &PlatformOptions) -> PlatformClient {
    let incarnation = RouterIncarnation::new("host-a", 7);
    PlatformClient::try_new(options, Some(&incarnation)).unwrap()
}

pub fn edge(options: &PlatformOptions) -> (PlatformHandle, Receiver<CoreEvent>) {
    let (events, received) = bounded(4);
    let incarnation = RouterIncarnation::new("host-a", 7);
    let handle = PlatformEdge::try_start(options, &incarnation, events).unwrap();
    (handle, received)
}

pub fn ticket(number: u64) -> PlatformTicket {
    PlatformTicket {
        duty: PlatformDuty::Money,
        number,
    }
}

pub fn faults(fault: PlatformFault) -> PlatformFaults {
    PlatformFaults {
        rules: vec![FaultRule::all(fault)],
        ..PlatformFaults::default()
    }
}

pub fn write_faults(fault: PlatformFault) -> PlatformFaults {
    let rule = FaultRule {
        scope: CallScope::Writes,
        ..FaultRule::all(fault)
    };
    PlatformFaults {
        rules: vec![rule],
        ..PlatformFaults::default()
    }
}

/// Returns the version of a found object.
pub fn found_version(reply: &PlatformReply) -> u64 {
    match reply {
        PlatformReply::Found(stored) => stored.version,
        other => panic!("expected an object, got {other:?}"),
    }
}
