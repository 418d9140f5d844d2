//! The `message_codec` module provides the encoding of single messages between routers.

use beechsaddle_core::peer::PeerMessage;
use capnp::message::{Builder, HeapAllocator};

use super::admission_codec::{
    read_admit, read_calls, read_progress, read_record, read_settle, read_usage_copy, write_admit,
    write_calls, write_progress, write_record, write_settle, write_usage_copy,
};
use super::catalogue_codec::{read_update, write_update};
use super::heartbeat_codec::{read_heartbeat, write_heartbeat};
use super::hosts_codec::{read_hosts, write_hosts};
use super::identity_codec::{read_call, write_call};
use super::limits::{CALLS_MAX, MESSAGE_BYTES_MAX, reader_options};
use super::reply_codec::{
    read_admit_reply, read_record_reply, read_unknown, write_admit_reply, write_record_reply,
    write_unknown,
};
use super::text_codec::{check_count, check_size};
use crate::error::{Result, WireError};
use crate::peer_capnp::peer_message;

/// Encodes a message as a part of a larger one.
pub fn write_message(message: &PeerMessage, mut builder: peer_message::Builder<'_>) -> Result<()> {
    match message {
        PeerMessage::Heartbeat(heartbeat) => write_heartbeat(heartbeat, builder.init_heartbeat()),
        PeerMessage::CatalogueRequest { after } => {
            builder.set_catalogue_request(*after);
            Ok(())
        }
        PeerMessage::CatalogueUpdate { base, changes } => {
            write_update(base.as_deref(), changes, builder.init_catalogue_update())
        }
        PeerMessage::AdmitRequest(request) => write_admit(request, builder.init_admit_request()),
        PeerMessage::AdmitReply { call, outcome } => {
            write_admit_reply(call, outcome, builder.init_admit_reply())
        }
        PeerMessage::ProgressReport { calls } => {
            let count = check_count(calls.len(), CALLS_MAX)?;
            write_progress(calls, builder.init_progress_report(count))
        }
        PeerMessage::SettleRequest(request) => write_settle(request, builder.init_settle_request()),
        PeerMessage::SettleReply { call } => write_call(call, builder.init_settle_reply()),
        PeerMessage::BillsDurable { calls } => {
            let count = check_count(calls.len(), CALLS_MAX)?;
            write_calls(calls, builder.init_bills_durable(count))
        }
        PeerMessage::HostsRequest => {
            builder.set_hosts_request(());
            Ok(())
        }
        PeerMessage::HostsUpdate { version, hosts } => {
            write_hosts(*version, hosts, builder.init_hosts_update())
        }
        PeerMessage::CallUnknown { call, journal } => {
            write_unknown(call, journal, builder.init_call_unknown())
        }
        PeerMessage::WitnessNote(copy) => write_usage_copy(copy, builder.init_witness_note()),
        PeerMessage::WitnessReply { call } => write_call(call, builder.init_witness_reply()),
        PeerMessage::RecordRequest(request) => write_record(request, builder.init_record_request()),
        PeerMessage::RecordReply { call, outcome } => {
            write_record_reply(call, outcome, builder.init_record_reply())
        }
    }
}

/// Decodes a message; fails on a variant that this version does not know.
pub fn read_message(reader: peer_message::Reader<'_>) -> Result<PeerMessage> {
    Ok(match reader.which()? {
        peer_message::Heartbeat(heartbeat) => PeerMessage::Heartbeat(read_heartbeat(heartbeat?)?),
        peer_message::CatalogueRequest(after) => PeerMessage::CatalogueRequest { after },
        peer_message::CatalogueUpdate(update) => {
            let (base, changes) = read_update(update?)?;
            PeerMessage::CatalogueUpdate { base, changes }
        }
        peer_message::AdmitRequest(request) => PeerMessage::AdmitRequest(read_admit(request?)?),
        peer_message::AdmitReply(reply) => {
            let (call, outcome) = read_admit_reply(reply?)?;
            PeerMessage::AdmitReply { call, outcome }
        }
        peer_message::ProgressReport(calls) => PeerMessage::ProgressReport {
            calls: read_progress(calls?)?,
        },
        peer_message::SettleRequest(request) => PeerMessage::SettleRequest(read_settle(request?)?),
        peer_message::SettleReply(call) => PeerMessage::SettleReply {
            call: read_call(call?)?,
        },
        peer_message::BillsDurable(calls) => PeerMessage::BillsDurable {
            calls: read_calls(calls?)?,
        },
        peer_message::WitnessNote(copy) => PeerMessage::WitnessNote(read_usage_copy(copy?)?),
        peer_message::WitnessReply(call) => PeerMessage::WitnessReply {
            call: read_call(call?)?,
        },
        peer_message::RecordRequest(request) => PeerMessage::RecordRequest(read_record(request?)?),
        peer_message::RecordReply(reply) => {
            let (call, outcome) = read_record_reply(reply?)?;
            PeerMessage::RecordReply { call, outcome }
        }
        peer_message::HostsRequest(()) => PeerMessage::HostsRequest,
        peer_message::HostsUpdate(update) => {
            let (version, hosts) = read_hosts(update?)?;
            PeerMessage::HostsUpdate { version, hosts }
        }
        peer_message::CallUnknown(unknown) => {
            let (call, journal) = read_unknown(unknown?)?;
            PeerMessage::CallUnknown { call, journal }
        }
    })
}

/// Builds a standalone message; fails if it is larger than [`MESSAGE_BYTES_MAX`].
pub fn build_message(message: &PeerMessage) -> Result<Builder<HeapAllocator>> {
    let mut builder = Builder::new_default();
    write_message(message, builder.init_root())?;
    check_size(builder.size_in_words() * 8, MESSAGE_BYTES_MAX)?;
    Ok(builder)
}

/// Encodes a standalone message; fails if it is larger than [`MESSAGE_BYTES_MAX`].
pub fn encode_message(message: &PeerMessage) -> Result<Vec<u8>> {
    let builder = build_message(message)?;
    Ok(capnp::serialize::write_message_to_words(&builder))
}

/// Decodes a standalone message. The bytes have to hold exactly one message.
pub fn decode_message(bytes: &[u8]) -> Result<PeerMessage> {
    check_size(bytes.len(), MESSAGE_BYTES_MAX)?;
    let mut remaining = bytes;
    let message = capnp::serialize::read_message_from_flat_slice(&mut remaining, reader_options())?;
    if !remaining.is_empty() {
        return Err(WireError::TrailingBytes(remaining.len()));
    }
    read_message(message.get_root()?)
}
