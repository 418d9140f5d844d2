//! The `board_link` module provides the messages about targets between routers.

use beechsaddle_core::gateway::{PeerRecord, TargetNote, TargetReport};
use beechsaddle_core::prelude::*;
use beechsaddle_wire::lending_capnp::{target_board, target_note};

use super::board_manager::ExchangeFailure;
use crate::gateway::peer_codec::{read_incarnation, time_before};
use crate::gateway::peer_link::PeerLinks;

/// Maximum number of notes that are read from a message.
pub(super) const READ_NOTES_MAX: u32 = 256;

/// The size of a word of a message, in bytes.
const WORD_BYTES: u64 = 8;

/// What a router tells others of itself in an exchange.
#[derive(Clone, Debug)]
pub(super) struct ExchangeSender {
    pub(super) secret: String,
    pub(super) host: HostName,
    pub(super) domain: DomainName,
    /// Whether the notes are sums over several routers.
    pub(super) is_relay: bool,
}

/// A received message.
#[derive(Clone, Debug)]
pub(super) struct ReceivedNotes {
    pub(super) notes: Vec<TargetNote>,
    /// Notes that could not be read.
    pub(super) unreadable: u64,
    /// Bytes of the notes.
    pub(super) bytes: u64,
}

/// The result of an exchange.
#[derive(Clone, Debug)]
pub(super) struct ExchangeReply {
    pub(super) sent_bytes: u64,
    pub(super) received: ReceivedNotes,
}

impl PeerLinks {
    /// Hands notes to a router and returns what it knows.
    pub(super) async fn exchange_notes(
        &self,
        peer: &PeerRecord,
        sender: &ExchangeSender,
        now: ClockTime,
        notes: &[TargetNote],
    ) -> Result<ExchangeReply, ExchangeFailure> {
        let client = self.open_client(peer).await;
        let client = client.map_err(ExchangeFailure::Silent)?;
        let mut call = target_board::Client { client }.exchange_notes_request();
        let mut parameters = call.get();
        parameters.set_secret(&sender.secret);
        parameters.set_host(sender.host.as_str());
        parameters.set_domain(sender.domain.as_str());
        parameters.set_is_domain(sender.is_relay);
        let list = parameters.reborrow().init_notes(notes.len() as u32);
        write_notes(now, notes, list);
        let silent = |error: capnp::Error| ExchangeFailure::Silent(error.to_string());
        let size = parameters.into_reader().total_size().map_err(silent)?;
        let reply = match call.send().promise.await {
            Ok(reply) => reply,
            Err(error) if error.kind == capnp::ErrorKind::Unimplemented => {
                return Err(ExchangeFailure::Absent);
            }
            Err(error) => return Err(silent(error)),
        };
        let answer = reply.get().map_err(silent)?;
        let list = answer.get_notes().map_err(silent)?;
        Ok(ExchangeReply {
            sent_bytes: size.word_count * WORD_BYTES,
            received: read_notes(now, list),
        })
    }
}

/// Encodes notes; their ages count from `now`.
pub(super) fn write_notes(
    now: ClockTime,
    notes: &[TargetNote],
    mut list: capnp::struct_list::Builder<'_, target_note::Owned>,
) {
    for (index, note) in notes.iter().enumerate() {
        let report = &note.report;
        let age_ms = now.since(report.measured_at).min(u32::MAX.into());
        let mut item = list.reborrow().get(index as u32);
        item.set_target(note.target.name.as_str());
        item.set_started(note.target.started.unwrap_or(0));
        item.set_age_ms(age_ms as u32);
        item.set_samples(report.samples as f32);
        item.set_event_ms(report.event_ms.unwrap_or(0.0) as f32);
        item.set_read_per_ms(report.read_per_ms.unwrap_or(0.0) as f32);
        item.set_failure_share(report.failure_share as f32);
        item.set_active(report.active.min(u32::MAX.into()) as u32);
        item.set_pending_tokens(report.pending_tokens);
    }
}

/// Decodes notes, of which the first [`READ_NOTES_MAX`] are read.
pub(super) fn read_notes(
    now: ClockTime,
    list: capnp::struct_list::Reader<'_, target_note::Owned>,
) -> ReceivedNotes {
    let mut received = ReceivedNotes {
        notes: Vec::new(),
        unreadable: list.len().saturating_sub(READ_NOTES_MAX).into(),
        bytes: 0,
    };
    for index in 0..list.len().min(READ_NOTES_MAX) {
        let item = list.get(index);
        let words = item.total_size().map_or(0, |size| size.word_count);
        received.bytes += words * WORD_BYTES;
        match read_note(now, item) {
            Ok(note) => received.notes.push(note),
            // One that is garbled says nothing about the others; it is counted.
            Err(_) => received.unreadable += 1,
        }
    }
    received
}

fn read_note(now: ClockTime, item: target_note::Reader<'_>) -> Result<TargetNote, capnp::Error> {
    let known = |speed: f32| (speed != 0.0).then_some(f64::from(speed));
    Ok(TargetNote {
        target: read_incarnation(item.get_target()?, item.get_started())?,
        report: TargetReport {
            event_ms: known(item.get_event_ms()),
            read_per_ms: known(item.get_read_per_ms()),
            failure_share: item.get_failure_share().into(),
            samples: item.get_samples().into(),
            active: item.get_active().into(),
            pending_tokens: item.get_pending_tokens(),
            measured_at: time_before(now, item.get_age_ms().into()),
        },
    })
}
